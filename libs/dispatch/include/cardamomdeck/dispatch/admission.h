/**
 * @file
 * Admission control: decides whether a request is sent to a backend server or rejected at once.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/backendchoice.h"

#include <cstdint>
#include <optional>

namespace cardamomdeck {

/** Result of the admission check of a request. */
struct admission_decision
{
    bool admitted = true;
    /** For a rejected request: delay after which the caller may retry. */
    milliseconds retryAfter{0};
};

/**
 * Service time estimate in milliseconds for requests of a rule that has no
 * measured responses yet. The estimate stays well below @p callerTimeoutMs: if all
 * requests of a rule were rejected, its service time would never be measured.
 */
double initialServiceTimeMs(double objectiveMs, double callerTimeoutMs);

/**
 * Delay after which a rejected caller may retry, with random jitter;
 * @p latencyMs is the latency that its request would have now.
 */
milliseconds retryDelay(double latencyMs, const choice_request &request, random_source &random);

/**
 * Shortens @p delay by a random part of up to a half. Where retryDelay() is limited by the callers' deadlines, it is
 * the same for all of them; if they are rejected because a zone is evacuated, they would return together.
 */
milliseconds spreadRetryDelay(milliseconds delay, random_source &random);

/**
 * Delay after which a caller may retry when all servers are paused; the first pause ends after @p untilEnd. Callers
 * return spread over some time after it, those with requests of @p mostUrgentPriority first.
 */
milliseconds retryDelayAfterPause(milliseconds untilEnd,
                                  std::uint32_t priority,
                                  std::uint32_t mostUrgentPriority,
                                  random_source &random);

/**
 * Rejects a request that is expected to miss its deadline, and a request
 * without a @p choice. When the chosen server has no free slot, a request that
 * is less urgent than @p mostUrgentPriority is also rejected if it is expected
 * to miss its latency objective, which leaves capacity for the most urgent
 * ones. A lower priority value is more urgent.
 */
admission_decision admit(const std::optional<backend_choice> &choice,
                         const choice_request &request,
                         std::uint32_t priority,
                         std::uint32_t mostUrgentPriority,
                         random_source &random);

}
