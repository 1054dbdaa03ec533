#include "cardamomdeck/dispatch/backendchoice.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cardamomdeck {

namespace {

/** Factor on the expected latency of a server that is warming up. */
constexpr double warmUpFactor = 2.0;

/** Cost of crossing zones, as a share of the latency objective; traffic between zones is billed. */
constexpr double crossZoneCostShare = 0.12;

/** Cost of a failure, as a multiple of the latency objective. */
constexpr double failureCostFactor = 3.0;

/** Expected latency of a server without a load report, as a multiple of the request's service time. */
constexpr double missingReportFactor = 3.0;

/** Multiple of the service time up to which a latency is acceptable; a slow server also occupies its slot longer. */
constexpr double acceptableLatencyFactor = 2.0;

/** Multiple of the service time up to which a server counts as idle and not slowed down. */
constexpr double idleLatencyFactor = 1.25;

double expectedLatencyMs(const backend_candidate &candidate, const choice_request &request, bool *slotFree)
{
    double total = 0;
    if (candidate.report) {
        const completion_estimate estimate = estimateCompletion(
            *candidate.report, candidate.sentSinceReport, request.serviceTimes, request.averageSlowdown);
        *slotFree = estimate.waitMs <= 0;
        total = estimate.totalMs();
    } else {
        *slotFree = candidate.inFlight == 0;
        total = request.serviceTimes.requestMs * (missingReportFactor + candidate.inFlight);
    }
    return candidate.warmingUp ? total * warmUpFactor : total;
}

}

std::optional<backend_choice>
chooseBackend(std::span<const backend_candidate> candidates, const choice_request &request, random_source &random)
{
    std::optional<backend_choice> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const backend_candidate &candidate = candidates[i];
        bool slotFree = false;
        const double latencyMs = expectedLatencyMs(candidate, request, &slotFree);
        const double zoneCost = candidate.sameZone
                                    ? 0.0
                                    : request.crossingCostMs.value_or(crossZoneCostShare * request.latencyObjectiveMs);
        // Random tie-breaking keeps entries from all choosing the same server.
        const double tieBreak = randomUnit(random) * 0.01 * request.serviceTimes.requestMs;
        const double cost
            = latencyMs + zoneCost + candidate.failureRate * failureCostFactor * request.latencyObjectiveMs + tieBreak;
        if (cost < bestCost) {
            bestCost = cost;
            best = backend_choice{i, latencyMs, slotFree};
        }
    }
    return best;
}

bool hasNoIdleBackend(const std::optional<backend_choice> &choice, const choice_request &request)
{
    return !choice || !choice->hasFreeSlot
           || choice->expectedLatencyMs > idleLatencyFactor * request.serviceTimes.requestMs;
}

bool hasNoAcceptableBackend(const std::optional<backend_choice> &choice, const choice_request &request)
{
    return !choice || !choice->hasFreeSlot
           || choice->expectedLatencyMs > acceptableLatencyFactor * request.serviceTimes.requestMs;
}

}
