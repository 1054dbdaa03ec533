/**
 * @file
 * Decides whether a request may be forwarded, by the key of its workspace.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/trafficconfig.h"
#include "cardamomdeck/fleet/workspacetable.h"
#include "cardamomdeck/http/httpconnection.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Result of the authorization of a request. */
struct authorization
{
    /** Why the request is rejected; nothing if it may be forwarded. */
    std::optional<key_rejection> rejection;
    /** Null on anonymous routes and without workspaces. */
    workspace_ptr workspace;
};

/** Limits the log lines about rejected keys, so that callers without a key cannot displace other lines. */
class rejection_log_limiter
{
public:
    static constexpr std::uint32_t maxLinesPerPeriod = 20;
    static constexpr milliseconds period{1000};

    /** Returns whether a line may be logged at @p now. */
    bool tryAcquire(time_point now);

    /** Returns the number of lines that were refused since the last call. */
    std::uint64_t takeRefused();

private:
    time_point m_periodEndsAt;
    std::uint32_t m_lines = 0;
    std::uint64_t m_refused = 0;
};

/** Authorizes requests by the installed configuration, and counts and logs the rejections; never logs a key. */
class request_authorizer
{
public:
    /** Replaces the configuration; requests are authorized by @p config from now on. */
    void applyConfig(const traffic_config_ptr &config);

    /**
     * Authorizes a @p request that @p rule routes. Removes its key and the workspace's name that its caller stated, so
     * that neither is forwarded, unless the configuration has no workspaces.
     */
    authorization authorize(http_request &request, const traffic_rule &rule);

    /** Appends the metrics in Prometheus text format; nothing if no configuration had workspaces. */
    void appendMetrics(std::string &text) const;

private:
    authorization reject(const http_request &request, const traffic_rule &rule, key_rejection reason);

    std::uint64_t m_configVersion = 0;
    workspace_table m_workspaces;
    std::map<key_rejection, std::uint64_t> m_rejections;
    rejection_log_limiter m_logLimiter;
};

}
