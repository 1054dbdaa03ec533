#include "cardamomdeck/dispatch/backendchoice.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cardamomdeck {

namespace {

/** Factor by which a server that has just started is slower. */
constexpr double warmUpFactor = 2.0;

/** Cost of crossing zones, as a part of the latency objective; bytes between zones are paid for. */
constexpr double crossZoneCostShare = 0.12;

/** Cost of a failure, as a multiple of the latency objective. */
constexpr double failureCostFactor = 3.0;

/** Expected time of a server that reports nothing, as a multiple of the usual time. */
constexpr double missingReportFactor = 3.0;

/** Multiple of the usual time up to which an expected answer is good enough; a slow server also blocks its slot. */
constexpr double acceptableLatencyFactor = 2.0;

/** Multiple of the usual time below which only idle servers at their usual pace are expected to answer. */
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
        const double expected = expectedLatencyMs(candidate, request, &slotFree);
        const double zoneCost = candidate.sameZone ? 0.0 : crossZoneCostShare * request.latencyObjectiveMs;
        // A tie between equal servers is broken at random, so that entries do not move together.
        const double tieBreak = randomUnit(random) * 0.01 * request.serviceTimes.requestMs;
        const double cost
            = expected + zoneCost + candidate.failureRate * failureCostFactor * request.latencyObjectiveMs + tieBreak;
        if (cost < bestCost) {
            bestCost = cost;
            best = backend_choice{i, expected, slotFree};
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
