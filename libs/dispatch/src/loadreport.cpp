#include "cardamomdeck/dispatch/loadreport.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Slowdown of a server that is completely busy, against an idle one; measured on servers with two slots. */
constexpr double fullLoadSlowdown = 0.4;

}

completion_estimate
estimateCompletion(const load_report &report, std::uint32_t sentSince, const service_times &work, double averagePace)
{
    const double slots = std::max<std::uint32_t>(1, report.slots);
    const double pace = std::max(report.slowdown, 0.1);
    const double running = std::min<double>(report.running + sentSince, slots);
    const double ahead = report.waiting + (report.running + sentSince - running);
    const double share = std::min(1.0, (running + 1.0) / slots);
    const double slowdown = 1.0 + fullLoadSlowdown * share;
    completion_estimate estimate;
    if (running < slots) {
        // Work keeps the pace at which it starts.
        estimate.serviceMs = work.requestMs * pace * slowdown;
        return estimate;
    }
    estimate.waitMs = (ahead + 1.0) / slots * work.averageMs * averagePace * slowdown;
    estimate.serviceMs = work.requestMs * averagePace * slowdown;
    return estimate;
}

}
