#include "cardamomdeck/dispatch/admission.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Shortest and longest pause in milliseconds that a refused caller is asked for. */
constexpr double minRetryDelayMs = 20.0;
constexpr double maxRetryDelayMs = 1000.0;

/** Part of the time that a caller allows for an answer, taken for the usual time of unknown work. */
constexpr double initialServiceTimeShare = 0.25;

/** Part of the remaining time that a caller is prepared to pause for. */
constexpr double maxRetryDelayShare = 0.33;

/** Returns are spread over this part of the pause, so that refused callers do not come back together. */
constexpr double retryJitterShare = 0.5;

}

double initialServiceTimeMs(double objectiveMs, double patienceMs)
{
    return initialServiceTimeShare * std::min(objectiveMs, patienceMs);
}

milliseconds retryDelay(double expectedMs, const choice_request &request, random_source &random)
{
    const double longest = std::min(maxRetryDelayMs, maxRetryDelayShare * request.remainingMs);
    const double excess = std::max(minRetryDelayMs, expectedMs - request.latencyObjectiveMs);
    const double pause = std::min(longest, excess * (1.0 + retryJitterShare * randomUnit(random)));
    return milliseconds(std::max<std::int64_t>(1, std::llround(pause)));
}

admission_decision admit(const std::optional<backend_choice> &choice,
                         const choice_request &request,
                         std::uint32_t priority,
                         std::uint32_t mostUrgentPriority,
                         random_source &random)
{
    if (!choice) {
        return {false, retryDelay(maxRetryDelayMs, request, random)};
    }
    const bool hopeless = choice->expectedLatencyMs > request.remainingMs;
    const bool yields = priority > mostUrgentPriority && !choice->hasFreeSlot
                        && choice->expectedLatencyMs > request.latencyObjectiveMs;
    if (hopeless || yields) {
        return {false, retryDelay(choice->expectedLatencyMs, request, random)};
    }
    return {true, milliseconds(0)};
}

}
