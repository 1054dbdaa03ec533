#include "cardamomdeck/dispatch/loadreport.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Additional slowdown of a fully loaded server relative to an idle one, for servers with two slots. */
constexpr double fullLoadSlowdown = 0.4;

}

completion_estimate estimateCompletion(const load_report &report,
                                       std::uint32_t sentSinceReport,
                                       const service_times &serviceTimes,
                                       double averageSlowdown)
{
    const double slots = std::max<std::uint32_t>(1, report.slots);
    const double reportedSlowdown = std::max(report.slowdown, 0.1);
    const double running = std::min<double>(report.running + sentSinceReport, slots);
    const double queuedAhead = report.waiting + (report.running + sentSinceReport - running);
    const double utilization = std::min(1.0, (running + 1.0) / slots);
    const double loadSlowdown = 1.0 + fullLoadSlowdown * utilization;
    completion_estimate estimate;
    if (running < slots) {
        // The slowdown at the start of a request applies until its end.
        estimate.serviceMs = serviceTimes.requestMs * reportedSlowdown * loadSlowdown;
        return estimate;
    }
    estimate.waitMs = (queuedAhead + 1.0) / slots * serviceTimes.averageMs * averageSlowdown * loadSlowdown;
    estimate.serviceMs = serviceTimes.requestMs * averageSlowdown * loadSlowdown;
    return estimate;
}

}
