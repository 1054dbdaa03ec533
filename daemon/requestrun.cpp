#include "requestrun.h"

#include "headers.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Shortest time that an attempt of an idempotent request gets before it may be repeated elsewhere. */
constexpr milliseconds shortestAttempt{100};

/** Age of a request from which on its caller is watched; most requests are answered before. */
constexpr milliseconds callerWatchDelay{5};

constexpr std::size_t spanIdDigits = 16;

attempt_class classOf(const attempt_end &end)
{
    if (end.refused) {
        return attempt_class::refused;
    }
    return isServerFailure(end) ? attempt_class::failed : attempt_class::success;
}

}

request_path::request_run::request_run(request_path &path,
                                       std::shared_ptr<service_runtime> service,
                                       http_request &callerRequest,
                                       request_traits requestTraits)
    : m_path(path)
    , m_service(std::move(service))
    , m_request(callerRequest)
    , m_traits(requestTraits)
    , m_plan(requestTraits, m_service->retries, m_service->hedges)
    , m_timer(path.m_context)
    , m_wake(path.m_context)
{
}

asio::awaitable<std::optional<http_response>> request_path::request_run::run(http_session &session)
{
    const auto self = shared_from_this();
    m_session = &session;
    m_watchAt = steady::now() + callerWatchDelay;
    std::string_view reason = "first";
    while (!m_ended) {
        if (!m_retryWanted) {
            // The attempt started here has ended; a hedge is still in flight.
            m_wake.expires_at(time_point::max());
            co_await m_wake.async_wait(asTuple);
            continue;
        }
        m_retryWanted = false;
        const backend_handle backend = takeBackend();
        if (!backend) {
            end(m_plan.finalCode());
            break;
        }
        // The first attempt runs in this coroutine: most requests need no other, and a second one has its price.
        co_await runAttempt(backend, reason);
        reason = "retry";
    }
    m_session = nullptr;
    m_timer.cancel();
    if (m_endCode == result_code::caller_gone) {
        co_return std::nullopt;
    }
    if (m_response) {
        co_return std::move(*m_response);
    }
    co_return m_path.reject(m_endCode);
}

result_code request_path::request_run::endCode() const
{
    return m_endCode;
}

backend_handle request_path::request_run::takeBackend()
{
    const backend_handle backend = m_service->balance.choose(m_tried, steady::now(), m_path.m_random);
    if (backend) {
        m_tried.push_back(backend);
    }
    return backend;
}

asio::awaitable<void> request_path::request_run::runAttempt(backend_handle backend, std::string_view reason)
{
    const time_point started = steady::now();
    const std::int64_t startUnixUs = unixMicroseconds();
    const std::string attemptSpan = headers::randomHex(m_path.m_random, spanIdDigits);
    const std::uint32_t number = m_plan.attempts();
    m_plan.attemptStarted();
    m_lastStart = started;
    ++m_service->metrics.attempts;
    ++m_path.m_held[backend->spec().name];
    m_service->balance.started(backend, started);
    m_live[number] = {backend, nullptr};
    armTimer();
    finished_attempt attempt = co_await exchangeWith(backend, number, attemptSpan);
    m_live.erase(number);
    noteAttemptEnd(backend, started, attempt);
    recordSpan(attemptSpan, reason, startUnixUs, attempt);
    if (!m_ended) {
        settle(std::move(attempt));
    }
}

asio::awaitable<finished_attempt>
request_path::request_run::exchangeWith(backend_handle backend, std::uint32_t number, const std::string &attemptSpan)
{
    const backend_spec target = backend->spec();
    finished_attempt attempt;
    attempt.backend = target.name;
    attempt.end.code = co_await connectTo(backend, m_live[number]);
    if (attempt.end.code != result_code::ok) {
        co_return attempt;
    }
    const connection_ptr connection = m_live[number].connection;
    const time_point now = steady::now();
    if (m_ended || !m_path.m_link.isFresh(now)) {
        attempt.end.code = m_ended ? result_code::caller_gone : result_code::view_stale;
        m_path.m_pool.giveBack(target.name, connection);
        co_return attempt;
    }
    message_limits limits;
    limits.bodyBytes = m_service->balance.service().maxBodyBytes;
    http_request request = makeBackendRequest(target, number, attemptSpan);
    exchange_result exchanged
        = co_await connection->exchange(std::move(request), limits, attemptDeadline(number, steady::now()));
    attempt.end.code = exchanged.code;
    attempt.end.bytesSent = exchanged.bytesSent;
    if (exchanged.code == result_code::deadline_passed) {
        // Connections that were kept since before this one went silent may be silent, too.
        m_path.m_pool.dropUnproven(target.name, now);
    }
    if (exchanged.code == result_code::ok) {
        attempt.end.status = exchanged.response.result_int();
        attempt.end.refused = headers::valueOf(exchanged.response, headers::refused) == "before-start";
        attempt.end.retriedBelow = !headers::valueOf(exchanged.response, headers::retried).empty();
        attempt.response = std::move(exchanged.response);
        m_path.m_pool.giveBack(target.name, connection);
    }
    co_return attempt;
}

asio::awaitable<result_code> request_path::request_run::connectTo(const backend_handle &backend, live_attempt &live)
{
    const service_spec &service = m_service->balance.service();
    const time_point now = steady::now();
    const time_point provenSince = m_traits.idempotent ? time_point::min() : now - service.proofOfLife;
    live.connection = m_path.m_pool.takeIdle(backend->spec().name, provenSince);
    if (live.connection) {
        co_return result_code::ok;
    }
    live.connection = m_path.m_pool.create();
    const connection_ptr connection = live.connection;
    const socket_address address = backend->spec().address;
    co_return co_await connection->connect(address, m_traits.deadline);
}

void request_path::request_run::noteAttemptEnd(const backend_handle &backend,
                                               time_point started,
                                               const finished_attempt &attempt)
{
    attempt_report report;
    report.kind = m_ended ? attempt_class::cancelled : classOf(attempt.end);
    report.started = started;
    report.finished = steady::now();
    if (const auto load = headers::numberOf(attempt.response, headers::load); load && *load >= 0) {
        report.reportedLoad = static_cast<std::uint32_t>(std::min<std::int64_t>(*load, INT32_MAX));
    }
    m_service->balance.finished(backend, report);
    m_path.noteDraining(attempt.backend, attempt.response);
    const auto held = m_path.m_held.find(attempt.backend);
    if (--held->second == 0) {
        m_path.m_held.erase(held);
    }
}

void request_path::request_run::recordSpan(const std::string &attemptSpan,
                                           std::string_view reason,
                                           std::int64_t startUnixUs,
                                           const finished_attempt &attempt) const
{
    if (!traced && attempt.end.code == result_code::ok) {
        return;
    }
    trace_span span;
    span.traceId = traceId;
    span.spanId = attemptSpan;
    span.parentId = spanId;
    span.name = "attempt";
    span.startUnixUs = startUnixUs;
    span.endUnixUs = unixMicroseconds();
    span.tags = {{"backend", attempt.backend},
                 {"strategy", m_service->balance.service().strategy},
                 {"reason", std::string(reason)},
                 {"code", std::string(infoOf(attempt.end.code).name)},
                 {"outcome", std::string(outcomeName(outcomeOf(attempt.end)))},
                 {"status", std::to_string(attempt.end.status)}};
    m_path.m_traces.record(std::move(span));
}

http_request request_path::request_run::makeBackendRequest(const backend_spec &backend,
                                                           std::uint32_t number,
                                                           const std::string &attemptSpan) const
{
    constexpr unsigned httpVersion = 11;
    http_request request = m_request;
    removeHopByHopHeaders(request);
    request.erase(http::field::expect);
    request.version(httpVersion);
    request.set(http::field::host, toString(backend.address));
    const auto left = std::chrono::duration_cast<milliseconds>(m_traits.deadline - steady::now());
    headers::set(request, headers::deadline, std::to_string(unixMilliseconds() + left.count()));
    const std::int64_t above = headers::numberOf(m_request, headers::attempt).value_or(0);
    headers::set(request, headers::attempt, std::to_string(above + number));
    headers::set(request, headers::traceparent, "00-" + traceId + "-" + attemptSpan + (traced ? "-01" : "-00"));
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

void request_path::request_run::settle(finished_attempt attempt)
{
    switch (m_plan.attemptEnded(attempt.end, steady::now())) {
    case plan_step::answer:
        removeHopByHopHeaders(attempt.response);
        m_response = std::move(attempt.response);
        end(result_code::ok);
        return;
    case plan_step::give_up:
        end(m_plan.finalCode());
        return;
    case plan_step::retry:
        ++m_service->metrics.retries;
        m_retryWanted = true;
        m_wake.cancel();
        return;
    case plan_step::wait:
        return;
    }
}

void request_path::request_run::end(result_code code)
{
    m_ended = true;
    m_endCode = code;
    for (const auto &[number, attempt] : m_live) {
        if (attempt.connection) {
            attempt.connection->close();
        }
    }
    m_wake.cancel();
}

void request_path::request_run::armTimer()
{
    const time_point due = m_watching ? hedgeAt() : std::min(hedgeAt(), m_watchAt);
    if (due == time_point::max()) {
        return;
    }
    m_timer.expires_at(due);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->handleTimer();
        }
    });
}

void request_path::request_run::handleTimer()
{
    if (m_ended) {
        return;
    }
    const time_point now = steady::now();
    if (!m_watching && now >= m_watchAt) {
        watchCaller();
    }
    if (now >= hedgeAt()) {
        startHedge();
    }
    if (!m_ended) {
        armTimer();
    }
}

void request_path::request_run::watchCaller()
{
    m_watching = true;
    m_session->watchCaller([self = shared_from_this()] {
        if (!self->m_ended) {
            self->end(result_code::caller_gone);
        }
    });
}

void request_path::request_run::startHedge()
{
    const bool wanted = m_service->balance.hedgingPays(steady::now()) && m_plan.takeHedge(steady::now());
    const backend_handle backend = wanted ? takeBackend() : nullptr;
    if (!backend) {
        m_hedgeRefused = true;
        return;
    }
    ++m_service->metrics.hedges;
    startTask(
        m_path.m_context, "hedge", [self = shared_from_this(), backend] { return self->runAttempt(backend, "hedge"); });
}

time_point request_path::request_run::attemptDeadline(std::uint32_t number, time_point now) const
{
    if (!m_traits.idempotent || m_traits.retriedAbove || number + 1 >= request_plan::mostAttempts) {
        return m_traits.deadline;
    }
    // Leaves half of the remaining time for another back end.
    const auto half = (m_traits.deadline - now) / 2;
    return now + std::max<nanoseconds>(half, shortestAttempt) > m_traits.deadline
               ? m_traits.deadline
               : now + std::max<nanoseconds>(half, shortestAttempt);
}

time_point request_path::request_run::hedgeAt() const
{
    const double delayMs = m_service->balance.hedgeDelayMs();
    const bool possible = m_traits.idempotent && !m_traits.retriedAbove && !m_hedgeRefused && m_live.size() == 1
                          && m_plan.attempts() < request_plan::mostAttempts && delayMs > 0;
    if (!possible) {
        return time_point::max();
    }
    const auto delay = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(delayMs));
    return m_lastStart + delay;
}

}
