/**
 * @file
 * Serves callers: everything that runs on the traffic thread.
 */
#pragma once

#include "backendprober.h"
#include "connectionpool.h"
#include "requestforwarding.h"
#include "requesthistory.h"
#include "servicetraffic.h"

#include "cardamomdeck/base/bytebudget.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/trafficsplit.h"
#include "cardamomdeck/fleet/entrychoice.h"
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
class gateway_path
{
public:
    /** Tells that the view is about to be replaced, because this process was paused; see handle(). */
    using suspicion = std::function<bool()>;

    gateway_path(boost::asio::io_context &traffic, const platform::platform_settings &settings, suspicion viewSuspect);

    /** Binds the ports for callers and the platform. Errors: port_in_use. */
    result_code start();

    /** Takes over a new view of the fleet. */
    void install(const fleet_view_ptr &view);

    /** Is not ready any more; connections close after their next answer. */
    void startLeaving();

    /** Refuses requests from now on; those in hand are finished. */
    void refuseNew();

    /** Accepts no new connections, and closes those that wait for nothing. */
    void stop();

    /** Requests in hand. */
    std::size_t requestsInHand() const;

    /** Open connections of callers. */
    std::size_t callerConnections() const;

    /** Memory of the bodies of requests and answers. */
    const byte_budget &memory() const;

    /** Connections to backend servers that carry nothing. */
    std::size_t idleConnections() const;

    /** Services and their backend servers. */
    const std::map<std::string, service_traffic_ptr> &services() const;

    /** The last requests. */
    const request_history &history() const;

private:
    boost::asio::awaitable<http_response> handle(http_request &request, http_session &session);
    boost::asio::awaitable<http_response> answerQuestion(http_request &request);
    boost::asio::awaitable<http_response>
    forward(http_request &request, http_session &session, traffic_rule_ptr rule, time_point arrival);
    void record(const request_forwarding &run,
                const forwarding_outcome &outcome,
                std::uint64_t configVersion,
                const std::string &service,
                double tookMs);
    /** Closes connections to backend servers that cannot be used again. */
    boost::asio::awaitable<void> dropIdleConnections();
    /** Waits, for a moment at most, until the view is one that was valid after a pause of this process. */
    boost::asio::awaitable<void> awaitTrustedView();
    http_response answerAddresses(const caller_place &place);
    http_response refuse(result_code code, milliseconds retryAfter) const;
    http_response rejectUnread(result_code code) const;
    /** Refuses a request of which nothing has been sent to a back end, and logs why. */
    http_response refuseUnsent(const http_request &request, result_code code) const;
    std::string serviceFor(const traffic_rule &rule);

    const platform::platform_settings &m_settings;
    random_source m_random;
    byte_budget m_memory;
    connection_pool m_pool;
    backend_prober m_prober;
    forwarding_context m_forwarding;
    traffic_directory m_directory;
    http_server m_traffic;
    http_server m_readiness;
    http_server m_resolver;
    suspicion m_viewSuspect;
    fleet_view_ptr m_view;
    caller_advisor m_advisor;
    rule_table m_rules;
    request_history m_history;
    /** Splits of the rules, by name; a changed split starts anew. */
    std::map<std::string, traffic_split> m_splits;
    std::size_t m_requestsInHand = 0;
    bool m_leaving = false;
    bool m_refusing = false;
};

}
