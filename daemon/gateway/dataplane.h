/**
 * @file
 * Serves callers: everything that runs on the traffic thread.
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

/** Accepts callers' requests and sends them to backend servers. */
class data_plane
{
public:
    /** Tells that the view is about to be replaced, because this process was paused; see handle(). */
    using stale_view_check = std::function<bool()>;

    data_plane(boost::asio::io_context &traffic,
               const platform::platform_settings &settings,
               stale_view_check viewSuspect);

    /** Binds the ports for callers and the platform. Errors: port_in_use. */
    result_code start();

    /** Takes over a new view of the fleet. */
    void applyView(const fleet_view_ptr &view);

    /** Is not ready any more; connections close after their next answer. */
    void startShutdown();

    /** Refuses requests from now on; those in hand are finished. */
    void rejectNewRequests();

    /** Accepts no new connections, and closes those that wait for nothing. */
    void stopAccepting();

    /** Requests in hand. */
    std::size_t requestsInFlight() const;

    /** Open connections of callers. */
    std::size_t callerConnections() const;

    /** Memory of the bodies of requests and answers. */
    const byte_budget &bodyMemory() const;

    /** Connections to backend servers that carry nothing. */
    std::size_t idleBackendConnections() const;

    /** Services and their backend servers. */
    const std::map<std::string, service_state_ptr> &services() const;

    /** The last requests. */
    const request_history &history() const;

private:
    boost::asio::awaitable<http_response> handleRequest(http_request &request, http_exchange &session);
    boost::asio::awaitable<http_response> handlePlatformRequest(http_request &request);
    boost::asio::awaitable<http_response>
    forward(http_request &request, http_exchange &session, traffic_rule_ptr rule, time_point arrival);
    void logRequest(const request_forwarder &run,
                    const forwarding_outcome &outcome,
                    std::uint64_t configVersion,
                    const std::string &service,
                    double tookMs);
    /** Closes connections to backend servers that cannot be used again. */
    boost::asio::awaitable<void> dropIdleConnections();
    /** Waits, for a moment at most, until the view is one that was valid after a pause of this process. */
    boost::asio::awaitable<void> awaitCurrentView();
    http_response makeAddressResponse(const caller_location &place);
    http_response makeErrorResponse(result_code code, milliseconds retryAfter) const;
    http_response rejectUnparsedRequest(result_code code) const;
    /** Refuses a request of which nothing has been sent to a back end, and logs why. */
    http_response rejectUnsentRequest(const http_request &request, result_code code) const;
    std::string selectService(const traffic_rule &rule);

    const platform::platform_settings &m_settings;
    random_source m_random;
    byte_budget m_bodyMemory;
    connection_pool m_pool;
    backend_prober m_prober;
    forwarding_context m_forwardingContext;
    service_table m_services;
    http_server m_trafficServer;
    http_server m_readinessServer;
    http_server m_resolverServer;
    stale_view_check m_isViewPossiblyStale;
    fleet_view_ptr m_view;
    entry_resolver m_entryResolver;
    rule_table m_rules;
    request_history m_history;
    /** Splits of the rules, by name; a changed split starts anew. */
    std::map<std::string, traffic_split> m_splits;
    std::size_t m_requestsInFlight = 0;
    bool m_shuttingDown = false;
    bool m_rejectingRequests = false;
};

}
