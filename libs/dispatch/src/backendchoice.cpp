#include "cardamomdeck/dispatch/backendchoice.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cardamomdeck {

namespace {

/** Factor by which a server that has just started is slower. */
constexpr double warmUpFactor = 2.0;

/** Cost of crossing zones, as a part of the latency objective; bytes between zones are paid for. */
constexpr double crossZonePart = 0.12;

/** Cost of a failure, as a multiple of the latency objective. */
constexpr double failureCost = 3.0;

/** Expected time of a server that reports nothing, as a multiple of the usual time. */
constexpr double silentFactor = 3.0;

/** Multiple of the usual time up to which an expected answer is good enough; a slow server also blocks its slot. */
constexpr double goodFactor = 2.0;

/** Multiple of the usual time below which only idle servers at their usual pace are expected to answer. */
constexpr double idleFactor = 1.25;

double expectedMs(const backend_candidate &candidate, const choice_request &request, bool *slotFree)
{
    double total = 0;
    if (candidate.report) {
        const completion_estimate estimate
            = estimateCompletion(*candidate.report, candidate.sentSince, request.work, request.averagePace);
        *slotFree = estimate.waitMs <= 0;
        total = estimate.totalMs();
    } else {
        *slotFree = candidate.inFlight == 0;
        total = request.work.requestMs * (silentFactor + candidate.inFlight);
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
        const double expected = expectedMs(candidate, request, &slotFree);
        const double zoneCost = candidate.sameZone ? 0.0 : crossZonePart * request.objectiveMs;
        // A tie between equal servers is broken at random, so that entries do not move together.
        const double tieBreak = randomUnit(random) * 0.01 * request.work.requestMs;
        const double cost = expected + zoneCost + candidate.failureShare * failureCost * request.objectiveMs + tieBreak;
        if (cost < bestCost) {
            bestCost = cost;
            best = backend_choice{i, expected, slotFree};
        }
    }
    return best;
}

bool isWorthComparing(const std::optional<backend_choice> &choice, const choice_request &request)
{
    return !choice || !choice->slotFree || choice->expectedMs > idleFactor * request.work.requestMs;
}

bool isWorthLookingFurther(const std::optional<backend_choice> &choice, const choice_request &request)
{
    return !choice || !choice->slotFree || choice->expectedMs > goodFactor * request.work.requestMs;
}

}
