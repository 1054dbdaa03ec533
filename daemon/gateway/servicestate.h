/**
 * @file
 * What the traffic thread keeps for each service and each of its backend servers.
 */
#pragma once

#include "trafficmetrics.h"

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/dispatch/backendhealth.h"
#include "cardamomdeck/dispatch/candidateorder.h"
#include "cardamomdeck/dispatch/loadreport.h"
#include "cardamomdeck/dispatch/movingaverage.h"
#include "cardamomdeck/dispatch/proberatelimiter.h"
#include "cardamomdeck/dispatch/retrybudget.h"
#include "cardamomdeck/fleet/fleetview.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomdeck {

/** One backend server as this entry uses it. */
struct backend_state
{
    /** The server @p known, as the entry @p entry uses it. */
    backend_state(backend_server known, const std::string &entry)
        : server(std::move(known))
        , preference(rendezvousScore(entry, server.id))
    {
    }

    backend_server server;
    /** See preferenceOf(). */
    std::size_t preference;
    backend_health health;
    /** Requests sent and not answered. */
    std::uint32_t inFlight = 0;
    /** Requests sent so far; tells how many followed a load report. */
    std::uint64_t sentRequests = 0;
    /** Receives no work before then: it said itself that it takes none, or another server has its address. */
    time_point avoidedUntil;
};

using backend_state_ptr = std::shared_ptr<backend_state>;

/** One service as this entry uses it. */
struct service_state
{
    /** A service whose repeats are bound by @p limits, and its probes by @p probesPerBackend a second. */
    service_state(retry_limits limits, double probesPerBackend)
        : retryBudget(limits)
        , probeRateLimiter(probesPerBackend)
    {
    }

    service_profile profile;
    std::map<std::string, backend_state_ptr> backends;
    retry_budget retryBudget;
    probe_rate_limiter probeRateLimiter;
    /** Weight of a new sample: some twenty samples make up most of a mean. */
    static constexpr double sampleWeight = 0.05;
    /** Pace that load reports tell. */
    moving_average slowdown{sampleWeight};
    /** Usual time of the requests of all rules, in milliseconds. */
    moving_average serviceTimeMs{sampleWeight};
    /** Usual time of the requests of single rules, in milliseconds. */
    std::map<std::string, moving_average> ruleServiceTimeMs;
    /** Probes that were answered without a load report; probing stops when they do not tell anything. */
    std::uint32_t probesWithoutLoad = 0;

    service_metrics metrics;
};

using service_state_ptr = std::shared_ptr<service_state>;

/** All services; follows the view of the fleet. */
class service_table
{
public:
    /** The entry @p entry; repeats are bound by @p limits, and probes by @p probesPerBackend a second. */
    service_table(std::string entry, retry_limits limits, double probesPerBackend);

    /** Takes over a new view; what is known of remaining servers is kept. */
    void applyView(const fleet_view &view);

    /** The service called @p name, or null when neither the configuration nor a server names it. */
    service_state_ptr find(const std::string &name) const;

    /** True when a service has the server called @p id. */
    bool hasBackend(const std::string &id) const;

    /** All services by name. */
    const std::map<std::string, service_state_ptr> &services() const;

private:
    /** Forgets services and rules that are not configured any more. */
    void removeUnconfigured(const fleet_view &view);

    std::string m_entryName;
    retry_limits m_retryLimits;
    double m_probesPerBackend;
    std::map<std::string, service_state_ptr> m_services;
    /** What was installed last; views often differ in their members only. */
    traffic_config_ptr m_config;
    backends_by_service_ptr m_backends;
};

}
