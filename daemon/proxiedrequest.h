/**
 * @file
 * One request on its way through the entry.
 */
#pragma once

#include "reverseproxy.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** An ended attempt with its answer. */
struct finished_attempt
{
    attempt_result end;
    http_response response;
    std::string backend;
};

/** Starts attempts as the request's plan decides, and waits for the first good answer. */
struct reverse_proxy::proxied_request : std::enable_shared_from_this<reverse_proxy::proxied_request>
{
    proxied_request(reverse_proxy &path,
                    std::shared_ptr<service_runtime> service,
                    http_request &callerRequest,
                    request_traits requestTraits);

    /** Runs the request to its end; null when the caller has gone. */
    boost::asio::awaitable<std::optional<http_response>> run(http_exchange &session);

    /** The code with which run() ended. */
    result_code endCode() const;

private:
    struct in_flight_attempt
    {
        backend_handle backend;
        connection_ptr connection;
    };

    /** A back end for the next attempt, noted as tried; null when there is none. */
    backend_handle selectBackend();
    boost::asio::awaitable<void> runAttempt(backend_handle backend, std::string_view reason);
    boost::asio::awaitable<finished_attempt>
    exchangeWith(backend_handle backend, std::uint32_t number, const std::string &spanId);
    boost::asio::awaitable<result_code> connectTo(const backend_handle &backend, in_flight_attempt &live);
    void reportAttemptEnd(const backend_handle &backend, time_point started, const finished_attempt &attempt);
    void recordAttemptSpan(const std::string &spanId,
                           std::string_view reason,
                           std::int64_t startUnixUs,
                           const finished_attempt &attempt) const;
    http_request makeBackendRequest(const backend_spec &backend, std::uint32_t number, const std::string &spanId) const;
    /** Lets the plan decide what follows the end of @p attempt. */
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
    /** Fires when a hedge or the watch over the caller is due. */
    boost::asio::steady_timer m_timer;
    /** Wakes run() while it waits for a hedge. */
    boost::asio::steady_timer m_wakeTimer;
    std::map<std::uint32_t, in_flight_attempt> m_inFlightAttempts;
    std::vector<backend_handle> m_triedBackends;
    std::optional<http_response> m_response;
    time_point m_lastAttemptStartedAt;
    time_point m_callerWatchAt;
    http_exchange *m_session = nullptr;
    bool m_retryPending = true;
    bool m_hedgeDenied = false;
    bool m_watchingCaller = false;
    bool m_ended = false;
    result_code m_endCode = result_code::ok;

public:
    /** Identity of the request's root span. */
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    bool sampled = false;
};

}
