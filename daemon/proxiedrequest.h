/**
 * @file
 * One request that is proxied to a backend server.
 */
#pragma once

#include "reverseproxy.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Result and response of a finished attempt. */
struct finished_attempt
{
    attempt_result result;
    http_response response;
    /** Memory reservation of the response body. */
    byte_budget::reservation memory;
    std::string backend;
};

/** Runs the attempts of a request as its request plan decides, and returns the response of the first accepted one. */
struct reverse_proxy::proxied_request : std::enable_shared_from_this<reverse_proxy::proxied_request>
{
    proxied_request(reverse_proxy &proxy,
                    std::shared_ptr<service_runtime> service,
                    http_request &callerRequest,
                    request_traits requestTraits);

    /** Runs the request until it ends. Returns the response, or nothing when the caller has disconnected. */
    boost::asio::awaitable<std::optional<http_response>> run(http_exchange &callerExchange);

    /** Result code of the request; valid after run(). */
    result_code endCode() const;

private:
    struct in_flight_attempt
    {
        backend_handle backend;
        connection_ptr connection;
    };

    /** Selects a backend server for the next attempt and marks it as tried; null when there is none. */
    backend_handle selectBackend();
    boost::asio::awaitable<void> runAttempt(backend_handle backend, std::string_view reason);
    boost::asio::awaitable<finished_attempt>
    exchangeWith(backend_handle backend, std::uint32_t number, const std::string &attemptSpanId);
    boost::asio::awaitable<result_code> connectTo(const backend_handle &backend, in_flight_attempt &inFlightAttempt);
    void reportAttemptEnd(const backend_handle &backend, time_point attemptStartedAt, const finished_attempt &attempt);
    void recordAttemptSpan(const std::string &attemptSpanId,
                           std::string_view reason,
                           std::int64_t startUnixUs,
                           const finished_attempt &attempt) const;
    http_request
    makeBackendRequest(const backend_spec &backend, std::uint32_t number, const std::string &attemptSpanId) const;
    /** Applies the decision of the request plan after @p attempt. */
    void handleAttemptEnd(finished_attempt attempt);
    void finish(result_code code);
    void armTimer();
    void handleTimer();
    void startHedge();
    void watchCallerDisconnect();
    time_point attemptDeadline(std::uint32_t number, time_point now) const;
    time_point hedgeAt() const;

    reverse_proxy &m_proxy;
    std::shared_ptr<service_runtime> m_service;
    http_request &m_request;
    request_traits m_traits;
    request_plan m_plan;
    /** Expires when a hedge is due or watching for a disconnect of the caller starts. */
    boost::asio::steady_timer m_timer;
    /** Cancelled to resume run() while it waits for a hedge. */
    boost::asio::steady_timer m_wakeTimer;
    std::map<std::uint32_t, in_flight_attempt> m_inFlightAttempts;
    std::vector<backend_handle> m_triedBackends;
    std::optional<http_response> m_response;
    byte_budget::reservation m_responseMemory;
    time_point m_lastAttemptStartedAt;
    time_point m_callerWatchAt;
    http_exchange *m_callerExchange = nullptr;
    bool m_retryPending = true;
    bool m_hedgeDenied = false;
    bool m_watchingCaller = false;
    bool m_ended = false;
    result_code m_endCode = result_code::ok;

public:
    /** Trace context of the request's span. */
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    bool sampled = false;
};

}
