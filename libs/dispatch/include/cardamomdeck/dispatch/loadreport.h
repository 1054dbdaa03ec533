/**
 * @file
 * Load report of a backend server, and the expected latency of a request that is sent to it.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>

namespace cardamomdeck {

/** Load of a backend server at the time of its response. */
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /** Current service time as a multiple of the usual one. */
    double slowdown = 1.0;

    bool operator==(const load_report &) const = default;
};

/** Usual service times, in milliseconds. */
struct service_times
{
    /** Service time of this request on an idle server. */
    double requestMs = 0;
    /** Mean service time of the service's requests, which may be queued before this one. */
    double averageMs = 0;
};

/** Expected latency in milliseconds: time in the queue and service time. */
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
 * Estimates the latency of a request that is sent to the server of @p report.
 * This entry has sent @p sentSinceReport requests to it since the report.
 *
 * The slowdown at the start of a request applies until its end. A request that
 * starts at once, in a free slot, gets the slowdown of the report. The slowdown
 * at the start of a queued request is unknown, so @p averageSlowdown is used.
 */
completion_estimate estimateCompletion(const load_report &report,
                                       std::uint32_t sentSinceReport,
                                       const service_times &serviceTimes,
                                       double averageSlowdown);

}
