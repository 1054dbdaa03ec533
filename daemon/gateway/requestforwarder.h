/**
 * @file
 * Sends one caller's request to backend servers until it is answered or given up.
 */
#pragma once

#include "backendselector.h"
#include "forwardedrequest.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/suspension.h"
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

/** How a request ended. */
struct forwarding_outcome
{
    result_code code = result_code::ok;
    /** The answer of a backend server, valid when the code is ok. */
    http_response response;
    /** Memory of the answer's body. */
    byte_budget::reservation memory;
    /** When refused: time after which the caller may come back. */
    milliseconds retryAfter{0};
};

/**
 * The attempts of one request. An idempotent request may be tried again after
 * any failure; any other only after the server said that it has not run it,
 * or when no byte of it was sent.
 */
class request_forwarder : public std::enable_shared_from_this<request_forwarder>
{
public:
    request_forwarder(forwarding_context &context, forwarded_request request);

    /** Runs the request; @p session tells when the caller leaves. */
    boost::asio::awaitable<forwarding_outcome> run(http_exchange &session);

    /** The request. */
    const forwarded_request &request() const;

    /** Attempts sent. */
    std::uint32_t attempts() const;

    /** Fields for the log: what ended attempts without an answer, as "SERVER:CODE" separated by commas. */
    const std::string &failedAttempts() const;
    /** Answers of probes that the last choice was made from. */
    std::size_t probeResponses() const;
    /** The last chosen server and what decided for it. */
    const std::string &lastBackend() const;
    double expectedMs() const;
    std::optional<load_report> lastLoad() const;

private:
    struct attempt
    {
        std::uint32_t number = 0;
        backend_state_ptr backend;
        connection_ptr connection;
        time_point startedAt;
    };

    boost::asio::awaitable<void> startAttempt();
    /** Runs an attempt; an exception that leaves it is a failure after which the request may have run. */
    boost::asio::awaitable<void> runAttempt(chosen_backend chosen, std::uint32_t number);
    boost::asio::awaitable<void> sendAttempt(chosen_backend chosen, std::uint32_t number);
    boost::asio::awaitable<connection_ptr> openConnection(backend_state_ptr backend);
    void handleAttemptEnd(const backend_state_ptr &backend, exchange_result result, time_point startedAt);
    void handleResponse(const backend_state_ptr &backend, exchange_result result, time_point startedAt);
    void recordServiceTime(double tookMs);
    void recordAttemptFailure(const backend_state &backend, result_code code, bool mayHaveRun, bool repeat);
    /** Takes a suspension of the machine off the caller's time, which went on. */
    void subtractSuspension();
    bool acquireRetry();
    /** The same for a request that may have run. */
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
    std::size_t m_probeResponses = 0;
    std::string m_lastBackend;
    std::optional<load_report> m_lastLoad;
    double m_expectedMs = 0;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connectFailures = 0;
    /** A whole answer of a server that reports a failure of its own. */
    std::optional<exchange_result> m_lastErrorResponse;
    bool m_mayHaveRun = false;
    bool m_retryPending = false;
    bool m_hedged = false;
    bool m_finished = false;
};

}
