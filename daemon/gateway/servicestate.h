/**
 * @file
 * State of each service and its backend servers; owned by the traffic thread.
 */
#pragma once

#include "coldservers.h"
#include "trafficmetrics.h"

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/dispatch/backendavailability.h"
#include "cardamomdeck/dispatch/backendhealth.h"
#include "cardamomdeck/dispatch/candidateorder.h"
#include "cardamomdeck/dispatch/loadreport.h"
#include "cardamomdeck/dispatch/movingaverage.h"
#include "cardamomdeck/dispatch/proberatelimiter.h"
#include "cardamomdeck/dispatch/retrybudget.h"
#include "cardamomdeck/dispatch/zonefilter.h"
#include "cardamomdeck/fleet/fleetview.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** State of one backend server at this entry. */
struct backend_state
{
    /** State of @p backendServer, whose announcements are in @p serverAvailability, at the entry called @p entryName.
     */
    backend_state(backend_server backendServer,
                  const std::string &entryName,
                  backend_availability_ptr serverAvailability)
        : server(std::move(backendServer))
        , score(rendezvousScore(entryName, server.id))
        , availability(std::move(serverAvailability))
    {
    }

    backend_server server;
    /** Rendezvous hashing score; see rendezvousScore(). */
    std::size_t score;
    /** What the server has announced; goes before anything that the store or a peer reports of this incarnation. */
    backend_availability_ptr availability;
    /** Problem of the last announcement, or ok. */
    result_code lastAnnouncementProblem = result_code::ok;
    backend_health health;
    /** Requests that were sent and have no response yet. */
    std::uint32_t inFlight = 0;
    /** Total number of requests sent; used to count those sent since a load report. */
    std::uint64_t sentRequests = 0;
    /** Receives no requests before this time: it reported itself unhealthy, or its address belongs to another server.
     */
    time_point avoidedUntil;
    /** Null unless the service limits the requests to cold servers; incarnations of the server share it. */
    limited_server_ptr limited;

    /** Returns true if requests may be sent to the server at @p now. */
    bool isUsable(time_point now) const
    {
        return avoidedUntil <= now && availability->isAvailable(now);
    }

    /** Returns true if the server is cold, and its service limits the requests to cold servers. */
    bool isCold(time_point now) const
    {
        return limited && limited->warmup.isCold(now);
    }
};

using backend_state_ptr = std::shared_ptr<backend_state>;

struct service_overflow;

/** State of one service at this entry. */
struct service_state
{
    /** Limits retries by @p limits, and probes to @p probesPerBackend per second and backend server. */
    service_state(retry_limits limits, double probesPerBackend)
        : retryBudget(limits)
        , probeRateLimiter(probesPerBackend)
    {
    }

    service_profile profile;
    std::map<std::string, backend_state_ptr> backends;
    retry_budget retryBudget;
    probe_rate_limiter probeRateLimiter;
    /** Weight of a new sample; about twenty samples make up most of a moving average. */
    static constexpr double sampleWeight = 0.05;
    /** Average slowdown in load reports. */
    moving_average slowdown{sampleWeight};
    /** Average service time of the requests of all rules, in milliseconds. */
    moving_average serviceTimeMs{sampleWeight};
    /** Average service time of requests by rule name, in milliseconds. */
    std::map<std::string, moving_average> ruleServiceTimeMs;
    /** Consecutive probe responses without a load report; probing stops when there are too many. */
    std::uint32_t probesWithoutLoad = 0;
    /** Null while zone_overflow is off. */
    std::shared_ptr<service_overflow> overflow;
    cold_request_counts coldRequests;

    service_metrics metrics;
};

using service_state_ptr = std::shared_ptr<service_state>;

/**
 * Servers of a service that get no requests of this entry, by their own announcements, because of their warm-up, or
 * because of an evacuation.
 */
struct withheld_backends
{
    /** Including those that need a probe first, because it may be their announcement. */
    std::size_t leaving = 0;
    std::size_t paused = 0;
    /** In evacuated zones; these are not among the others. */
    std::size_t evacuated = 0;
    /** Cold servers, to which this entry may send few requests or none. */
    std::size_t cold = 0;
    /** Earliest end of a pause. */
    std::optional<time_point> earliestEnd;

    bool operator==(const withheld_backends &) const = default;
};

/**
 * The servers of @p service in the allowed @p zones that get no requests at @p now; those in @p evacuatedZones are
 * counted apart.
 */
withheld_backends withheldBackends(const service_state &service,
                                   const zone_set &evacuatedZones,
                                   time_point now,
                                   const zone_filter &zones = {});

/** All services; kept current with the view of the fleet. */
class service_table
{
public:
    /**
     * Table of the entry called @p entryName. Limits retries by @p limits, and probes to @p probesPerBackend per second
     * and backend server.
     */
    service_table(std::string entryName, retry_limits limits, double probesPerBackend);

    /** Applies a new view; keeps the state of servers that remain. */
    void applyView(const fleet_view &view);

    /** The service called @p name, or null when neither the configuration nor a server names it. */
    service_state_ptr find(const std::string &name) const;

    /** True when a service has the server called @p id and it is not leaving. */
    bool hasServingBackend(const std::string &id) const;

    /** Drops announcements of servers that are no longer registered, once they have no effect. */
    void removeUnusedAnnouncements(time_point now);

    /** All services by name. */
    const std::map<std::string, service_state_ptr> &services() const;

private:
    /** Removes services and rules that are no longer configured. */
    void removeUnconfigured(const fleet_view &view);

    std::string m_entryName;
    retry_limits m_retryLimits;
    double m_probesPerBackend;
    std::map<std::string, service_state_ptr> m_services;
    backend_availability_table m_availability;
    /** Parts of the last applied view; views often differ only in their members. */
    traffic_config_ptr m_config;
    backends_by_service_ptr m_backends;
};

}
