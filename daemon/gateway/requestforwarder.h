/**
 * @file
 * Forwards one caller's request to backend servers until one responds or the request fails.
 */
#pragma once

#include "backendselector.h"
#include "forwardedrequest.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/suspension.h"
#include "cardamomdeck/dispatch/attempttracker.h"
#include "cardamomdeck/dispatch/backendchoice.h"
#include "cardamomdeck/fleet/fleetview.h"
#include "cardamomdeck/http/httpconnection.h"
#include "cardamomdeck/http/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Outcome of a forwarded request. */
struct forwarding_outcome
{
    result_code code = result_code::ok;
    /** The response of a backend server; valid if the code is ok. */
    http_response response;
    /** Memory reserved for the body of the response. */
    byte_budget::reservation memory;
    /** Retry-After delay for the caller when the request was not served. */
    milliseconds retryAfter{0};
    /** Servers that could not be asked; set if no other server was left. */
    withheld_backends withheld;
};

/**
 * Runs the attempts of one request. An idempotent request may be retried after
 * any failure; any other request only if the server reports that it has not
 * run it, or if no byte of it was sent.
 */
class request_forwarder : public std::enable_shared_from_this<request_forwarder>
{
public:
    request_forwarder(forwarding_context &context, forwarded_request request);

    /** Runs the request; cancels it when the caller of @p exchange disconnects. */
    boost::asio::awaitable<forwarding_outcome> run(http_exchange &exchange);

    /** The request. */
    const forwarded_request &request() const;

    /** Number of attempts sent. */
    std::uint32_t attempts() const;

    /** Failed attempts for the log, as "SERVER:CODE" separated by commas. */
    const std::string &failedAttempts() const;
    /** Number of candidates of the last choice; see chosen_backend::candidateCount. */
    std::size_t candidateCount() const;
    /** The backend server of the last attempt. */
    const std::string &lastBackend() const;
    /** Expected latency of the last attempt, in milliseconds. */
    double expectedLatencyMs() const;
    /** Load report of the last chosen server. */
    std::optional<load_report> lastLoad() const;

private:
    struct attempt
    {
        std::uint32_t number = 0;
        backend_state_ptr backend;
        connection_ptr connection;
        time_point startedAt;
    };

    /** Chooses a server for the attempt that is reserved, and starts it. */
    boost::asio::awaitable<void> startAttempt();
    /** Runs an attempt; an exception counts as a failure after which the request may have run. */
    boost::asio::awaitable<void> runAttempt(chosen_backend chosen, std::uint32_t number);
    boost::asio::awaitable<void> sendAttempt(chosen_backend chosen, std::uint32_t number);
    boost::asio::awaitable<connection_ptr> openConnection(backend_state_ptr backend);
    void handleAttemptEnd(const backend_state_ptr &backend, exchange_result result, time_point startedAt);
    void handleResponse(const backend_state_ptr &backend, exchange_result result, time_point startedAt);
    /** Records what @p backend announces in the header of a response, whether or not its body arrives. */
    void recordAnnouncement(backend_state &backend, const http_response &response);
    /** Records whether @p backend has answered an attempt. */
    void updateAvailability(backend_state &backend, const exchange_result &result);
    /** Sets the result of a request for which no server is left, if some accept no requests at present. */
    void considerWithheldBackends();
    void recordServiceTime(double durationMs);
    void recordAttemptFailure(const backend_state &backend, result_code code, bool mayHaveRun, bool shouldRetry);
    /** Subtracts a suspension of the machine from the remaining time, because the caller's clock kept running. */
    void subtractSuspension();
    /** Reserves the attempt of a retry or a hedge; fails if the attempts, the time or the retry budget are used up. */
    bool acquireRetry();
    /** Like acquireRetry(), for a request that may have run: always fails unless the request is idempotent. */
    bool acquireIdempotentRetry();
    time_point hedgeAt() const;
    void finishFailed();
    void finish(result_code code);

    forwarding_context &m_context;
    forwarded_request m_request;
    backend_selector m_selector;
    suspension_detector m_suspension;
    boost::asio::steady_timer m_wakeTimer;
    std::set<std::string> m_triedBackends;
    std::vector<attempt> m_inFlightAttempts;
    forwarding_outcome m_outcome;
    result_code m_failureCode = result_code::no_backend;
    std::string m_failedAttempts;
    std::size_t m_candidateCount = 0;
    std::string m_lastBackend;
    std::optional<load_report> m_lastLoad;
    double m_expectedLatencyMs = 0;
    attempt_tracker m_attempts;
    std::uint32_t m_connectFailures = 0;
    /** Complete error response (5xx) of a backend server; returned if no later attempt succeeds. */
    std::optional<exchange_result> m_lastErrorResponse;
    bool m_mayHaveRun = false;
    /** A retry is reserved and starts as soon as run() continues. */
    bool m_retryPending = false;
    bool m_hedged = false;
    bool m_finished = false;
};

}
