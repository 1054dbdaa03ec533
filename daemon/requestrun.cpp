#include "requestrun.h"

#include "headers.h"

#include "cardamomdeck/base/logline.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Shortest time that an attempt of an idempotent request gets before it may be repeated elsewhere. */
constexpr milliseconds shortestAttempt{100};

constexpr std::size_t spanIdDigits = 16;

std::int64_t unixMicroseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(sinceEpoch).count();
}

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
    , m_wake(path.m_context)
{
}

asio::awaitable<std::optional<http_response>> request_path::request_run::run(http_session &session)
{
    const auto self = shared_from_this();
    session.watchCaller([self] {
        self->m_callerGone = true;
        self->m_wake.cancel();
    });
    if (!startAttempt("first")) {
        m_endCode = result_code::no_backend;
    }
    while (m_endCode == result_code::ok) {
        co_await waitForEvent();
        if (m_callerGone) {
            m_endCode = result_code::caller_gone;
            break;
        }
        if (auto response = handleFinished()) {
            m_ended = true;
            cancelAttempts();
            co_return response;
        }
        maybeHedge(steady::now());
    }
    m_ended = true;
    cancelAttempts();
    if (m_callerGone) {
        co_return std::nullopt;
    }
    co_return m_path.reject(m_endCode);
}

result_code request_path::request_run::endCode() const
{
    return m_endCode;
}

bool request_path::request_run::startAttempt(std::string_view reason)
{
    const time_point now = steady::now();
    const backend_handle backend = m_service->balance.choose(m_tried, now, m_path.m_random);
    if (!backend) {
        return false;
    }
    const std::uint32_t number = m_plan.attempts();
    m_plan.attemptStarted();
    m_tried.push_back(backend);
    m_lastStart = now;
    ++m_service->metrics.attempts;
    ++m_path.m_held[backend->spec().name];
    asio::co_spawn(
        m_path.m_context,
        [self = shared_from_this(), backend, number, reason = std::string(reason)]() -> asio::awaitable<void> {
            co_await self->runAttempt(backend, number, reason);
        },
        asio::detached);
    return true;
}

asio::awaitable<void>
request_path::request_run::runAttempt(backend_handle backend, std::uint32_t number, std::string reason)
{
    const time_point started = steady::now();
    const std::int64_t startUnixUs = unixMicroseconds();
    const std::string attemptSpan = headers::randomHex(m_path.m_random, spanIdDigits);
    m_service->balance.started(backend, started);
    m_live[number] = {backend, nullptr};
    finished_attempt attempt = co_await exchangeWith(backend, number, attemptSpan);
    m_live.erase(number);
    noteAttemptEnd(backend, started, attempt);
    recordSpan(attemptSpan, reason, startUnixUs, attempt);
    if (!m_ended) {
        m_finished.push_back(std::move(attempt));
        m_wake.cancel();
    }
}

asio::awaitable<finished_attempt>
request_path::request_run::exchangeWith(backend_handle backend, std::uint32_t number, const std::string &attemptSpan)
{
    const backend_spec target = backend->spec();
    finished_attempt attempt;
    attempt.backend = target.name;
    connection_ptr connection;
    attempt.end.code = co_await connectTo(backend, connection);
    if (attempt.end.code != result_code::ok) {
        co_return attempt;
    }
    const time_point now = steady::now();
    if (m_ended || !m_path.m_link.isFresh(now)) {
        attempt.end.code = m_ended ? result_code::caller_gone : result_code::view_stale;
        m_path.m_pool.giveBack(target.name, connection);
        co_return attempt;
    }
    m_live[number].connection = connection;
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

asio::awaitable<result_code> request_path::request_run::connectTo(const backend_handle &backend,
                                                                  connection_ptr &connection)
{
    const service_spec &service = m_service->balance.service();
    const time_point now = steady::now();
    const time_point provenSince = m_traits.idempotent ? time_point::min() : now - service.proofOfLife;
    connection = m_path.m_pool.takeIdle(backend->spec().name, provenSince);
    if (connection) {
        co_return result_code::ok;
    }
    connection = m_path.m_pool.create();
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
                                           const std::string &reason,
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
                 {"reason", reason},
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

asio::awaitable<void> request_path::request_run::waitForEvent()
{
    if (!m_finished.empty() || m_callerGone) {
        co_return;
    }
    m_wake.expires_at(hedgeAt());
    co_await m_wake.async_wait(asTuple);
}

bool request_path::request_run::maybeHedge(time_point now)
{
    if (now < hedgeAt() || m_endCode != result_code::ok || !m_finished.empty()) {
        return false;
    }
    if (!m_service->balance.hedgingPays(now) || !m_plan.takeHedge(now) || !startAttempt("hedge")) {
        m_hedgeRefused = true;
        return false;
    }
    ++m_service->metrics.hedges;
    return true;
}

void request_path::request_run::cancelAttempts()
{
    for (const auto &[number, attempt] : m_live) {
        if (attempt.connection) {
            attempt.connection->close();
        }
    }
}

std::optional<http_response> request_path::request_run::handleFinished()
{
    while (!m_finished.empty()) {
        finished_attempt attempt = std::move(m_finished.front());
        m_finished.pop_front();
        const plan_step step = m_plan.attemptEnded(attempt.end, steady::now());
        if (step == plan_step::answer) {
            removeHopByHopHeaders(attempt.response);
            return std::move(attempt.response);
        }
        if (step == plan_step::give_up) {
            m_endCode = m_plan.finalCode();
            return std::nullopt;
        }
        if (step == plan_step::retry) {
            ++m_service->metrics.retries;
            if (!startAttempt("retry")) {
                m_endCode = m_plan.finalCode();
                return std::nullopt;
            }
        }
    }
    return std::nullopt;
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
