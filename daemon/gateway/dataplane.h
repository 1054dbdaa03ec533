/**
 * @file
 * Serves the requests of callers; everything that runs on the traffic thread.
 */
#pragma once

#include "backendprober.h"
#include "connectionpool.h"
#include "requestforwarder.h"
#include "requesthistory.h"
#include "servicestate.h"

#include "cardamomdeck/base/bytebudget.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/trafficsplit.h"
#include "cardamomdeck/fleet/entryresolver.h"
#include "cardamomdeck/fleet/fleetview.h"
#include "cardamomdeck/fleet/ruletable.h"
#include "cardamomdeck/http/httpserver.h"
#include "cardamomdeck/platform/platformsettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cardamomdeck {

class quota_exchange;

/** Accepts callers' requests and forwards them to backend servers. */
class data_plane
{
public:
    /** Returns true while the view may be stale after a pause of this process; see awaitCurrentView(). */
    using stale_view_check = std::function<bool()>;

    data_plane(boost::asio::io_context &context,
               const platform::platform_settings &settings,
               stale_view_check isViewPossiblyStale);

    /** Binds the traffic, readiness and resolver ports. Errors: port_in_use. */
    result_code start();

    /** Sets the quotas that requests are subject to; to be called before start(). */
    void setQuotas(quota_exchange &quotas);

    /** Applies a new view of the fleet. */
    void applyView(const fleet_view_ptr &view);

    /**
     * Reports not ready from now on; connections close after their next response. New requests whose deadline is after
     * @p lastDeadline are rejected, because the exit of the process could interrupt them.
     */
    void startShutdown(time_point lastDeadline);

    /** Rejects new requests from now on; those in flight are finished. */
    void rejectNewRequests();

    /** Accepts no new connections, and closes the idle ones. */
    void stopAccepting();

    /** Number of requests in flight. */
    std::size_t requestsInFlight() const;

    /** Number of open connections of callers. */
    std::size_t callerConnections() const;

    /** Memory budget for the bodies of requests and responses. */
    const byte_budget &bodyMemory() const;

    /** Number of idle connections to backend servers. */
    std::size_t idleBackendConnections() const;

    /** All services with their backend servers, by name. */
    const std::map<std::string, service_state_ptr> &services() const;

    /** Log lines of the most recent requests. */
    const request_history &history() const;

private:
    boost::asio::awaitable<http_response> handleRequest(http_request &request, http_exchange &exchange);
    boost::asio::awaitable<http_response> handlePlatformRequest(http_request &request);
    boost::asio::awaitable<http_response>
    forward(http_request &request, http_exchange &exchange, traffic_rule_ptr rule, time_point arrivedAt);
    void logRequest(const request_forwarder &forwarder,
                    const forwarding_outcome &outcome,
                    std::uint64_t configVersion,
                    const std::string &service,
                    double durationMs);
    /** Periodically closes idle connections to backend servers that are removed, stale or unusable. */
    boost::asio::awaitable<void> dropIdleConnections();
    /** Probes servers that accept requests only after a probe; see backend_availability::needsProbe(). */
    void probeRestartedBackends();
    boost::asio::awaitable<void> probeRestarted(service_state_ptr service, std::vector<backend_state_ptr> backends);
    /** Waits, for a short time at most, until the view is no longer possibly stale after a pause of this process. */
    boost::asio::awaitable<void> awaitCurrentView();
    http_response makeAddressResponse(const caller_location &location);
    http_response makeErrorResponse(result_code code, milliseconds retryAfter) const;
    http_response rejectUnparsedRequest(result_code code) const;
    /** Rejects a request of which nothing has been sent to a backend server, and logs the reason. */
    http_response rejectUnsentRequest(const http_request &request, result_code code) const;
    std::string selectService(const traffic_rule &rule);
    std::shared_ptr<const workspace> workspaceOf(const http_request &request) const;

    const platform::platform_settings &m_settings;
    random_source m_random;
    byte_budget m_bodyMemory;
    connection_pool m_pool;
    announcement_recorder m_announcements;
    backend_prober m_prober;
    forwarding_context m_forwardingContext;
    service_table m_services;
    http_server m_trafficServer;
    http_server m_readinessServer;
    http_server m_resolverServer;
    stale_view_check m_isViewPossiblyStale;
    quota_exchange *m_quotas = nullptr;
    fleet_view_ptr m_view;
    entry_resolver m_entryResolver;
    rule_table m_rules;
    request_history m_history;
    /** Traffic splits by rule name; a split whose services have changed is created again. */
    std::map<std::string, traffic_split> m_splits;
    std::size_t m_requestsInFlight = 0;
    /** Latest deadline of a request that is accepted. */
    time_point m_lastDeadline = time_point::max();
    bool m_shuttingDown = false;
    bool m_rejectingRequests = false;
};

}
