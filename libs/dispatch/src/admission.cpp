#include "cardamomdeck/dispatch/admission.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Shortest and longest pause in milliseconds that a refused caller is asked for. */
constexpr double shortestPauseMs = 20.0;
constexpr double longestPauseMs = 1000.0;

/** Part of the time that a caller allows for an answer, taken for the usual time of unknown work. */
constexpr double guessedPart = 0.25;

/** Part of the remaining time that a caller is prepared to pause for. */
constexpr double pausePart = 0.33;

/** Returns are spread over this part of the pause, so that refused callers do not come back together. */
constexpr double spreadPart = 0.5;

}

double guessedWorkMs(double objectiveMs, double patienceMs)
{
    return guessedPart * std::min(objectiveMs, patienceMs);
}

milliseconds returnPause(double expectedMs, const choice_request &request, random_source &random)
{
    const double longest = std::min(longestPauseMs, pausePart * request.deadlineMs);
    const double excess = std::max(shortestPauseMs, expectedMs - request.objectiveMs);
    const double pause = std::min(longest, excess * (1.0 + spreadPart * randomUnit(random)));
    return milliseconds(std::max<std::int64_t>(1, std::llround(pause)));
}

admission_decision admit(const std::optional<backend_choice> &choice,
                         const choice_request &request,
                         std::uint32_t priority,
                         std::uint32_t mostUrgentPriority,
                         random_source &random)
{
    if (!choice) {
        return {false, returnPause(longestPauseMs, request, random)};
    }
    const bool hopeless = choice->expectedMs > request.deadlineMs;
    const bool yields = priority > mostUrgentPriority && !choice->slotFree && choice->expectedMs > request.objectiveMs;
    if (hopeless || yields) {
        return {false, returnPause(choice->expectedMs, request, random)};
    }
    return {true, milliseconds(0)};
}

}
