/**
 * @file
 * What a backend server says of its load, and how long a request sent to it would take.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>

namespace cardamomdeck {

/** Load of a backend server at the moment of its answer. */
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /** How long work takes at this moment, as a multiple of its usual time. */
    double slowdown = 1.0;

    bool operator==(const load_report &) const = default;
};

/** The request and the service that an estimate is made for, in milliseconds. */
struct service_times
{
    /** Usual time of this request on an idle server. */
    double requestMs = 0;
    /** Usual time of the requests that wait before it. */
    double averageMs = 0;
};

/** Expected time until the answer, split into its parts, in milliseconds. */
struct completion_estimate
{
    double waitMs = 0;
    double serviceMs = 0;

    double totalMs() const
    {
        return waitMs + serviceMs;
    }
};

/**
 * Estimates a request that is sent to a server with @p report, on which
 * @p sentSince requests of this entry have arrived since the report.
 *
 * Work goes on at the pace at which it starts: that of the report where a slot
 * is free, and else an unknown one, for which @p averagePace stands.
 */
completion_estimate
estimateCompletion(const load_report &report, std::uint32_t sentSince, const service_times &work, double averagePace);

}
