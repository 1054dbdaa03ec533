#include "cardamomdeck/dispatch/loadreport.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Mean time in milliseconds for which a reported pace goes on; neighbours' load turns over in some 150 ms. */
constexpr double paceLifetimeMs = 75.0;

/** Slowdown of a server that is completely busy, against an idle one; measured on servers with two slots. */
constexpr double fullSlowdown = 0.4;

double workAtPace(double workMs, double pace, double averagePace)
{
    const double atPace = workMs * pace;
    if (atPace <= paceLifetimeMs) {
        return atPace;
    }
    return paceLifetimeMs + (workMs - paceLifetimeMs / pace) * averagePace;
}

}

completion_estimate
estimateCompletion(const load_report &report, std::uint32_t sentSince, const work_profile &work, double averagePace)
{
    const double slots = std::max<std::uint32_t>(1, report.slots);
    const double pace = std::max(report.pace, 0.1);
    const double running = std::min<double>(report.running + sentSince, slots);
    const double ahead = report.waiting + (report.running + sentSince - running);
    completion_estimate estimate;
    if (running >= slots) {
        estimate.waitMs = (ahead + 1.0) / slots * workAtPace(work.serviceMs, pace, averagePace);
    }
    const double share = std::min(1.0, (running + 1.0) / slots);
    estimate.workMs = workAtPace(work.requestMs, pace, averagePace) * (1.0 + fullSlowdown * share);
    return estimate;
}

}
