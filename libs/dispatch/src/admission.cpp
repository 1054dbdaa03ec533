#include "cardamomdeck/dispatch/admission.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Bounds in milliseconds of the retry delay; the delay is shorter if little time is left until the deadline. */
constexpr double minRetryDelayMs = 20.0;
constexpr double maxRetryDelayMs = 1000.0;

/** Initial service time estimate, as a share of the latency objective or the caller's timeout, whichever is less. */
constexpr double initialServiceTimeShare = 0.25;

/** Upper bound of the retry delay, as a share of the time left until the caller's deadline. */
constexpr double maxRetryDelayShare = 0.33;

/** Maximum jitter as a share of the retry delay; it keeps rejected callers from retrying at the same time. */
constexpr double retryJitterShare = 0.5;

/** Time after the end of a pause over which callers of one urgency return; less urgent ones follow after it. */
constexpr double returnSpreadMs = 200.0;

}

double initialServiceTimeMs(double objectiveMs, double callerTimeoutMs)
{
    return initialServiceTimeShare * std::min(objectiveMs, callerTimeoutMs);
}

milliseconds retryDelay(double latencyMs, const choice_request &request, random_source &random)
{
    const double maxDelayMs = std::min(maxRetryDelayMs, maxRetryDelayShare * request.remainingMs);
    const double excessMs = std::max(minRetryDelayMs, latencyMs - request.latencyObjectiveMs);
    const double delayMs = std::min(maxDelayMs, excessMs * (1.0 + retryJitterShare * randomUnit(random)));
    return milliseconds(std::max<std::int64_t>(1, std::llround(delayMs)));
}

milliseconds spreadRetryDelay(milliseconds delay, random_source &random)
{
    const double share = 1.0 - retryJitterShare * randomUnit(random);
    return milliseconds(std::max<std::int64_t>(1, std::llround(share * static_cast<double>(delay.count()))));
}

milliseconds retryDelayAfterPause(milliseconds untilEnd,
                                  std::uint32_t priority,
                                  std::uint32_t mostUrgentPriority,
                                  random_source &random)
{
    const double turn = priority > mostUrgentPriority ? 1.0 : 0.0;
    return untilEnd + milliseconds(std::llround(returnSpreadMs * (turn + randomUnit(random))));
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
    const bool missesDeadline = choice->expectedLatencyMs > request.remainingMs;
    const bool isShed = priority > mostUrgentPriority && !choice->hasFreeSlot
                        && choice->expectedLatencyMs > request.latencyObjectiveMs;
    if (missesDeadline || isShed) {
        return {false, retryDelay(choice->expectedLatencyMs, request, random)};
    }
    return {true, milliseconds(0)};
}

}
