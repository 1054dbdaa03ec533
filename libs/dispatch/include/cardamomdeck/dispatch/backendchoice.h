/**
 * @file
 * Chooses a backend server among those that have just reported their load.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/loadreport.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cardamomdeck {

/** What is known of one server when a request is about to be sent. */
struct backend_candidate
{
    /** The report of a probe that was answered just now; none when the probe failed or none was sent. */
    std::optional<load_report> report;
    /** Requests of this entry that the server has not answered. */
    std::uint32_t inFlight = 0;
    /** Requests of this entry that were sent after the report. */
    std::uint32_t sentSince = 0;
    /** Probability that a request fails there. */
    double failureShare = 0;
    bool sameZone = true;
    bool warmingUp = false;

    bool operator==(const backend_candidate &) const = default;
};

/** The request that is to be sent. */
struct choice_request
{
    work_profile work;
    /** Time in milliseconds that the caller values an answer within, from now on. */
    double objectiveMs = 0;
    /** Time in milliseconds that is left before the caller gives up. */
    double deadlineMs = 0;
    /** Average pace of the service's servers. */
    double averagePace = 1.0;
};

/** A chosen candidate and what is expected of it. */
struct backend_choice
{
    std::size_t index = 0;
    /** Expected time until the answer in milliseconds; failures and zones are not part of it. */
    double expectedMs = 0;
    /** A slot is free for the request. */
    bool slotFree = false;
};

/** The candidate with the least expected cost, or nothing when there is none. */
std::optional<backend_choice>
chooseBackend(std::span<const backend_candidate> candidates, const choice_request &request, random_source &random);

/** True unless an idle server at its usual pace was found: another one of the same zone may be better. */
bool isWorthComparing(const std::optional<backend_choice> &choice, const choice_request &request);

/** True when a server of another zone may be worth looking for. */
bool isWorthLookingFurther(const std::optional<backend_choice> &choice, const choice_request &request);

}
