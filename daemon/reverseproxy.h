/**
 * @file
 * Reverse proxy for the requests of callers. All of it runs on the traffic thread.
 */
#pragma once

#include "connectionpool.h"
#include "entrysettings.h"
#include "tracesink.h"
#include "trafficchannel.h"
#include "trafficmetrics.h"

#include "cardamomdeck/http/httpserver.h"
#include "cardamomdeck/routing/balancer.h"
#include "cardamomdeck/routing/probebudget.h"
#include "cardamomdeck/routing/requestplan.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cardamomdeck {

/** State of one service on the traffic thread. */
struct service_runtime
{
    /** Creates the state of service @p spec for an entry in @p zone. */
    service_runtime(const service_spec &spec, const std::string &zone)
        : loadBalancer(spec, zone)
        , retryBudget(spec.retryPercent)
        , hedgeBudget(spec.hedgePercent)
    {
    }

    balancer loadBalancer;
    attempt_budget retryBudget;
    attempt_budget hedgeBudget;
    service_metrics metrics;
    std::map<std::string, probe_budget> probeBudgets;
    std::set<std::string> probesInFlight;
    std::uint32_t inFlight = 0;
};

/** Accepts requests from callers and forwards them to backend servers. */
class reverse_proxy
{
public:
    /** Creates the proxy of the entry with @p settings; it runs on @p traffic. */
    reverse_proxy(boost::asio::io_context &traffic,
                  const entry_settings &settings,
                  traffic_channel &channel,
                  trace_sink &traces);

    /** Binds the traffic port and starts serving. Errors: port_in_use. */
    result_code start();

    /** Accepts no new connections and closes each caller connection after its next response. */
    void stop();

private:
    struct proxied_request;
    friend struct proxied_request;

    boost::asio::awaitable<http_response> handle(http_request &request, http_exchange &callerExchange);
    boost::asio::awaitable<http_response> serve(http_request &request, http_exchange &callerExchange);
    void beginTrace(proxied_request &proxied, const http_request &request);
    void recordRequestSpan(const proxied_request &proxied,
                           const rule_spec &rule,
                           log_offset generation,
                           std::int64_t arrivalUnixUs);
    boost::asio::awaitable<bool> waitForLease(time_point deadline);
    http_response makeAddressResponse(const http_request &request) const;
    http_response reject(result_code code) const;
    void install(const std::shared_ptr<const traffic_update> &update);
    void installServices(const routing_view &view);
    void updateProbeBudgets(service_runtime &runtime) const;
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> probeLoop();
    boost::asio::awaitable<void> probe(std::shared_ptr<service_runtime> runtime, backend_handle backend);
    void startDueProbes(const std::shared_ptr<service_runtime> &runtime, time_point now);
    void updateShutdownAnnouncement(const std::string &backend, const http_response &response);
    void report();
    std::shared_ptr<const traffic_report> makeReport();
    std::shared_ptr<const std::vector<backend_status>> describeBackends() const;
    std::string renderMetrics() const;
    std::string backendState(const backend_stats &backend, time_point now) const;

    boost::asio::io_context &m_context;
    const entry_settings &m_settings;
    traffic_channel &m_trafficChannel;
    trace_sink &m_traces;
    random_source m_random;
    /** Memory for the bodies of requests and responses. */
    byte_budget m_bodyMemory;
    connection_pool m_pool;
    http_server m_server;
    std::shared_ptr<const traffic_update> m_update;
    std::map<std::string, std::shared_ptr<service_runtime>> m_services;
    /** Attempts in flight by backend server, including servers that are no longer configured. */
    std::map<std::string, std::uint32_t> m_inFlightByBackend;
    std::set<std::string> m_announcedShutdowns;
    std::uint64_t m_requestsInFlight = 0;
    bool m_stopped = false;
    std::shared_ptr<const traffic_report> m_lastReport;
    unsigned m_reportCount = 0;
    std::string m_metrics;
    std::shared_ptr<const std::vector<backend_status>> m_statuses;
};

}
