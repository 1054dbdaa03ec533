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
    std::uint32_t sentSinceReport = 0;
    /** Probability that a request fails there. */
    double failureRate = 0;
    bool sameZone = true;
    bool warmingUp = false;

    bool operator==(const backend_candidate &) const = default;
};

/** The request that is to be sent. */
struct choice_request
{
    service_times serviceTimes;
    /** Time in milliseconds that the caller values an answer within, from now on. */
    double latencyObjectiveMs = 0;
    /** Time in milliseconds that is left before the caller gives up. */
    double remainingMs = 0;
    /** Average pace of the service's servers. */
    double averageSlowdown = 1.0;
};

/** A chosen candidate and what is expected of it. */
struct backend_choice
{
    std::size_t index = 0;
    /** Expected time until the answer in milliseconds; failures and zones are not part of it. */
    double expectedLatencyMs = 0;
    /** A slot is free for the request. */
    bool hasFreeSlot = false;
};

/** The candidate with the least expected cost, or nothing when there is none. */
std::optional<backend_choice>
chooseBackend(std::span<const backend_candidate> candidates, const choice_request &request, random_source &random);

/** True unless an idle server at its usual pace was found: another one of the same zone may be better. */
bool hasNoIdleBackend(const std::optional<backend_choice> &choice, const choice_request &request);

/** True when a server of another zone may be worth looking for. */
bool hasNoAcceptableBackend(const std::optional<backend_choice> &choice, const choice_request &request);

}
