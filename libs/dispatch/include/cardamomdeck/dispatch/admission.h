/**
 * @file
 * Decides whether a request is sent or refused at once.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/backendchoice.h"

#include <cstdint>
#include <optional>

namespace cardamomdeck {

/** Outcome of the admission of a request. */
struct admission_decision
{
    bool admitted = true;
    /** When refused: time after which the caller may come back. */
    milliseconds retryAfter{0};
};

/**
 * Usual time in milliseconds that is assumed for requests of which none has
 * been answered yet. It leaves room for an answer to the most impatient
 * caller, as a rule whose requests are all refused would never be learned.
 */
double initialServiceTimeMs(double objectiveMs, double patienceMs);

/** Time after which a caller may come back whose request would take @p expectedMs now; spread at random. */
milliseconds retryDelay(double expectedMs, const choice_request &request, random_source &random);

/**
 * Refuses a request whose answer cannot be expected before its deadline. When
 * no slot is free, less urgent requests are refused as soon as their answer
 * would miss its objective, so that urgent ones find room.
 */
admission_decision admit(const std::optional<backend_choice> &choice,
                         const choice_request &request,
                         std::uint32_t priority,
                         std::uint32_t mostUrgentPriority,
                         random_source &random);

}
