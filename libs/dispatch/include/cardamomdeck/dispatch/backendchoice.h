/**
 * @file
 * Chooses a backend server by expected latency and cost, from the latest load reports.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/loadreport.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cardamomdeck {

/** State of one backend server at the time of the choice, as seen by this entry. */
struct backend_candidate
{
    /** Load report of the probe for this request; empty if the probe failed or none was sent. */
    std::optional<load_report> report;
    /** Requests of this entry that are waiting for a response of the server. */
    std::uint32_t inFlight = 0;
    /** Requests that this entry has sent since the report. */
    std::uint32_t sentSinceReport = 0;
    /** Probability that a request to this server fails, in [0, 1]. */
    double failureRate = 0;
    bool sameZone = true;
    bool warmingUp = false;

    bool operator==(const backend_candidate &) const = default;
};

/** The request that is to be sent. */
struct choice_request
{
    service_times serviceTimes;
    /** Latency objective in milliseconds, counted from now. */
    double latencyObjectiveMs = 0;
    /** Time left until the caller's deadline, in milliseconds. */
    double remainingMs = 0;
    /** Mean slowdown of the service's backend servers. */
    double averageSlowdown = 1.0;
    /** Cost in milliseconds of a server in another zone; none for a fixed share of the objective. */
    std::optional<double> crossingCostMs = std::nullopt;
};

/** A chosen candidate and its expected latency. */
struct backend_choice
{
    std::size_t index = 0;
    /** Expected latency in milliseconds, without the costs of failures and of crossing zones. */
    double expectedLatencyMs = 0;
    /** Whether the server has a free slot for the request. */
    bool hasFreeSlot = false;
};

/** Returns the candidate with the lowest expected cost, or nothing if @p candidates is empty. */
std::optional<backend_choice>
chooseBackend(std::span<const backend_candidate> candidates, const choice_request &request, random_source &random);

/** Returns true unless @p choice is an idle server without slowdown; another server of the zone may be better. */
bool hasNoIdleBackend(const std::optional<backend_choice> &choice, const choice_request &request);

/** Returns true unless @p choice has a free slot and an acceptable latency; a server of another zone may be better. */
bool hasNoAcceptableBackend(const std::optional<backend_choice> &choice, const choice_request &request);

}
