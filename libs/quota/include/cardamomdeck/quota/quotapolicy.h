/**
 * @file
 * Limits of workspaces, and the parameters of their enforcement that follow from the tolerances of a deployment.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <map>
#include <string>

namespace cardamomdeck {

/** Limit of one workspace over all entries. */
struct quota_limit
{
    /** Requests per second; always positive. */
    double requestsPerSecond = 0;
    /** Requests beyond the rate that may come at once. */
    double burst = 0;

    bool operator==(const quota_limit &) const = default;
};

/** Limits by the name of the workspace; workspaces without a limit are not in it. */
using quota_limit_table = std::map<std::string, quota_limit>;

/** Parameters of all workspaces. */
struct quota_policy
{
    /** Time after the request for it for which a token can be used. */
    milliseconds tokenLifetime{500};
    /** Depth of a bucket beyond the burst. */
    double extraDepth = 10;

    /**
     * The policy for a deployment that tolerates an excess of @p excess and @p slack requests in each @p window.
     *
     * Tokens used within a window were granted in the window or at most one lifetime before it, so an issuer with the
     * rate r and the depth d permits r x (window + lifetime) + d. A lifetime of excess x window keeps the first term
     * below the tolerance for any demand. Half of the slack deepens the buckets: a bucket of a workspace with few
     * requests per second would otherwise reject many requests that are within the limit, because they come at random.
     */
    static quota_policy forTolerance(milliseconds window, double excess, double slack);

    bool operator==(const quota_policy &) const = default;
};

}
