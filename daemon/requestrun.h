/**
 * @file
 * One request on its way through the entry.
 */
#pragma once

#include "requestpath.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <vector>

namespace cardamomdeck {

/** An ended attempt with its answer. */
struct finished_attempt
{
    attempt_end end;
    http_response response;
    std::string backend;
};

/** Starts attempts as the request's plan decides, and waits for the first good answer. */
struct request_path::request_run : std::enable_shared_from_this<request_path::request_run>
{
    request_run(request_path &path,
                std::shared_ptr<service_runtime> service,
                http_request &callerRequest,
                request_traits requestTraits);

    /** Runs the request to its end; null when the caller has gone. */
    boost::asio::awaitable<std::optional<http_response>> run(http_session &session);

    /** The code with which run() ended. */
    result_code endCode() const;

private:
    struct live_attempt
    {
        backend_handle backend;
        connection_ptr connection;
    };

    bool startAttempt(std::string_view reason);
    boost::asio::awaitable<void> runAttempt(backend_handle backend, std::uint32_t number, std::string reason);
    boost::asio::awaitable<finished_attempt>
    exchangeWith(backend_handle backend, std::uint32_t number, const std::string &spanId);
    boost::asio::awaitable<result_code> connectTo(const backend_handle &backend, connection_ptr &connection);
    void noteAttemptEnd(const backend_handle &backend, time_point started, const finished_attempt &attempt);
    void recordSpan(const std::string &spanId,
                    const std::string &reason,
                    std::int64_t startUnixUs,
                    const finished_attempt &attempt) const;
    http_request makeBackendRequest(const backend_spec &backend, std::uint32_t number, const std::string &spanId) const;
    boost::asio::awaitable<void> waitForEvent();
    bool maybeHedge(time_point now);
    void cancelAttempts();
    std::optional<http_response> handleFinished();
    time_point attemptDeadline(std::uint32_t number, time_point now) const;
    time_point hedgeAt() const;

    request_path &m_path;
    std::shared_ptr<service_runtime> m_service;
    http_request &m_request;
    request_traits m_traits;
    request_plan m_plan;
    boost::asio::steady_timer m_wake;
    std::deque<finished_attempt> m_finished;
    std::map<std::uint32_t, live_attempt> m_live;
    std::vector<backend_handle> m_tried;
    time_point m_lastStart;
    bool m_hedgeRefused = false;
    bool m_ended = false;
    bool m_callerGone = false;
    result_code m_endCode = result_code::ok;

public:
    /** Identity of the request's root span. */
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    bool traced = false;
};

}
