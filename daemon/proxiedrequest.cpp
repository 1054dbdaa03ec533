#include "proxiedrequest.h"

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

/** Minimum timeout of an attempt of an idempotent request that may be retried on another backend server. */
constexpr milliseconds minAttemptTimeout{100};

/** Age of a request at which watching for a disconnect of its caller starts; most requests end earlier. */
constexpr milliseconds callerWatchDelay{5};

constexpr std::size_t spanIdDigits = 16;

/** Sets the length of the body, which the backend server may have sent in chunks or without a length. */
void setBodyLength(http_response &response, http::verb method)
{
    const http::status status = response.result();
    if (method != http::verb::head && status != http::status::no_content && status != http::status::not_modified) {
        response.prepare_payload();
    }
}

attempt_outcome classifyAttempt(const attempt_result &result)
{
    if (result.refused) {
        return attempt_outcome::refused;
    }
    return isServerFailure(result) ? attempt_outcome::failed : attempt_outcome::success;
}

}

reverse_proxy::proxied_request::proxied_request(reverse_proxy &proxy,
                                                std::shared_ptr<service_runtime> service,
                                                http_request &callerRequest,
                                                request_traits requestTraits)
    : m_proxy(proxy)
    , m_service(std::move(service))
    , m_request(callerRequest)
    , m_traits(requestTraits)
    , m_plan(requestTraits, m_service->retryBudget, m_service->hedgeBudget)
    , m_timer(proxy.m_context)
    , m_wakeTimer(proxy.m_context)
{
}

asio::awaitable<std::optional<http_response>> reverse_proxy::proxied_request::run(http_exchange &callerExchange)
{
    const auto self = shared_from_this();
    m_callerExchange = &callerExchange;
    m_callerWatchAt = steady::now() + callerWatchDelay;
    std::string_view reason = "first";
    while (!m_ended) {
        if (!m_retryPending) {
            // The attempt that this coroutine ran has ended; a hedge is still in flight.
            m_wakeTimer.expires_at(time_point::max());
            co_await m_wakeTimer.async_wait(asTuple);
            continue;
        }
        m_retryPending = false;
        const backend_handle backend = selectBackend();
        if (!backend) {
            finish(m_plan.finalCode());
            break;
        }
        // Runs in this coroutine: most requests need no further attempt, and another coroutine would add cost.
        co_await runAttempt(backend, reason);
        reason = "retry";
    }
    callerExchange.holdUntilWritten(std::move(m_responseMemory));
    m_callerExchange = nullptr;
    m_timer.cancel();
    if (m_endCode == result_code::caller_gone) {
        co_return std::nullopt;
    }
    if (m_response) {
        co_return std::move(*m_response);
    }
    co_return m_proxy.reject(m_endCode);
}

result_code reverse_proxy::proxied_request::endCode() const
{
    return m_endCode;
}

backend_handle reverse_proxy::proxied_request::selectBackend()
{
    const backend_handle backend = m_service->loadBalancer.choose(m_triedBackends, steady::now(), m_proxy.m_random);
    if (backend) {
        m_triedBackends.push_back(backend);
    }
    return backend;
}

asio::awaitable<void> reverse_proxy::proxied_request::runAttempt(backend_handle backend, std::string_view reason)
{
    const time_point attemptStartedAt = steady::now();
    const std::int64_t startUnixUs = unixMicroseconds();
    const std::string attemptSpanId = headers::randomHex(m_proxy.m_random, spanIdDigits);
    const std::uint32_t number = m_plan.attempts();
    m_plan.attemptStarted();
    m_lastAttemptStartedAt = attemptStartedAt;
    ++m_service->metrics.attempts;
    ++m_proxy.m_inFlightByBackend[backend->spec().name];
    m_service->loadBalancer.attemptStarted(backend, attemptStartedAt);
    m_inFlightAttempts[number] = {backend, nullptr};
    armTimer();
    finished_attempt attempt = co_await exchangeWith(backend, number, attemptSpanId);
    m_inFlightAttempts.erase(number);
    reportAttemptEnd(backend, attemptStartedAt, attempt);
    recordAttemptSpan(attemptSpanId, reason, startUnixUs, attempt);
    if (!m_ended) {
        handleAttemptEnd(std::move(attempt));
    }
}

asio::awaitable<finished_attempt> reverse_proxy::proxied_request::exchangeWith(backend_handle backend,
                                                                               std::uint32_t number,
                                                                               const std::string &attemptSpanId)
{
    const backend_spec target = backend->spec();
    finished_attempt attempt;
    attempt.backend = target.name;
    attempt.result.code = co_await connectTo(backend, m_inFlightAttempts[number]);
    if (attempt.result.code != result_code::ok) {
        co_return attempt;
    }
    const connection_ptr connection = m_inFlightAttempts[number].connection;
    const time_point now = steady::now();
    if (m_ended || !m_proxy.m_trafficChannel.isLeaseValid(now)) {
        attempt.result.code = m_ended ? result_code::caller_gone : result_code::view_stale;
        m_proxy.m_pool.release(target.name, connection);
        co_return attempt;
    }
    message_limits limits;
    limits.maxBodyBytes = m_service->loadBalancer.service().maxBodyBytes;
    http_request request = makeBackendRequest(target, number, attemptSpanId);
    response_rules rules;
    rules.budget = &m_proxy.m_bodyMemory;
    exchange_result exchanged = co_await connection->exchange(
        std::move(request), limits, attemptDeadline(number, steady::now()), std::move(rules));
    attempt.result.code = exchanged.code;
    attempt.result.mayHaveSentBytes = exchanged.mayHaveSentBytes;
    if (exchanged.code == result_code::deadline_passed) {
        // Idle connections that were last alive before this exchange may be unresponsive, too.
        m_proxy.m_pool.dropStale(target.name, now);
    }
    if (exchanged.code == result_code::ok) {
        attempt.result.status = exchanged.response.result_int();
        attempt.result.refused = headers::valueOf(exchanged.response, headers::refused) == "before-start";
        attempt.result.retriedByBackend = !headers::valueOf(exchanged.response, headers::retried).empty();
        attempt.response = std::move(exchanged.response);
        attempt.memory = std::move(exchanged.memory);
        m_proxy.m_pool.release(target.name, connection);
    }
    co_return attempt;
}

asio::awaitable<result_code> reverse_proxy::proxied_request::connectTo(const backend_handle &backend,
                                                                       in_flight_attempt &inFlightAttempt)
{
    const service_spec &service = m_service->loadBalancer.service();
    const time_point now = steady::now();
    const time_point aliveSince = m_traits.idempotent ? time_point::min() : now - service.maxIdleTimeForNonIdempotent;
    inFlightAttempt.connection = m_proxy.m_pool.acquireIdle(backend->spec().name, aliveSince);
    if (inFlightAttempt.connection) {
        co_return result_code::ok;
    }
    inFlightAttempt.connection = m_proxy.m_pool.create();
    const connection_ptr connection = inFlightAttempt.connection;
    const socket_address address = backend->spec().address;
    co_return co_await connection->connect(address, m_traits.deadline);
}

void reverse_proxy::proxied_request::reportAttemptEnd(const backend_handle &backend,
                                                      time_point attemptStartedAt,
                                                      const finished_attempt &attempt)
{
    attempt_summary summary;
    summary.kind = m_ended ? attempt_outcome::cancelled : classifyAttempt(attempt.result);
    summary.startedAt = attemptStartedAt;
    summary.finishedAt = steady::now();
    if (const auto load = headers::numberOf(attempt.response, headers::load); load && *load >= 0) {
        summary.reportedLoad = static_cast<std::uint32_t>(std::min<std::int64_t>(*load, INT32_MAX));
    }
    m_service->loadBalancer.attemptEnded(backend, summary);
    m_proxy.updateShutdownAnnouncement(attempt.backend, attempt.response);
    const auto inFlight = m_proxy.m_inFlightByBackend.find(attempt.backend);
    if (--inFlight->second == 0) {
        m_proxy.m_inFlightByBackend.erase(inFlight);
    }
}

void reverse_proxy::proxied_request::recordAttemptSpan(const std::string &attemptSpanId,
                                                       std::string_view reason,
                                                       std::int64_t startUnixUs,
                                                       const finished_attempt &attempt) const
{
    if (!sampled && attempt.result.code == result_code::ok) {
        return;
    }
    trace_span span;
    span.traceId = traceId;
    span.spanId = attemptSpanId;
    span.parentId = spanId;
    span.name = "attempt";
    span.startUnixUs = startUnixUs;
    span.endUnixUs = unixMicroseconds();
    span.tags = {{"backend", attempt.backend},
                 {"strategy", m_service->loadBalancer.service().strategy},
                 {"reason", std::string(reason)},
                 {"code", std::string(infoOf(attempt.result.code).name)},
                 {"outcome", std::string(outcomeName(outcomeOf(attempt.result)))},
                 {"status", std::to_string(attempt.result.status)}};
    m_proxy.m_traces.record(std::move(span));
}

http_request reverse_proxy::proxied_request::makeBackendRequest(const backend_spec &backend,
                                                                std::uint32_t number,
                                                                const std::string &attemptSpanId) const
{
    constexpr unsigned httpVersion = 11;
    http_request request = m_request;
    removeHopByHopHeaders(request);
    request.erase(http::field::expect);
    request.version(httpVersion);
    request.set(http::field::host, toString(backend.address));
    const auto remaining = std::chrono::duration_cast<milliseconds>(m_traits.deadline - steady::now());
    headers::set(request, headers::deadline, std::to_string(unixMilliseconds() + remaining.count()));
    const std::int64_t callerAttempts = headers::numberOf(m_request, headers::attempt).value_or(0);
    headers::set(request, headers::attempt, std::to_string(callerAttempts + number));
    headers::set(request, headers::traceparent, "00-" + traceId + "-" + attemptSpanId + (sampled ? "-01" : "-00"));
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

void reverse_proxy::proxied_request::handleAttemptEnd(finished_attempt attempt)
{
    switch (m_plan.attemptEnded(attempt.result, steady::now())) {
    case retry_decision::answer:
        removeHopByHopHeaders(attempt.response);
        setBodyLength(attempt.response, m_request.method());
        m_response = std::move(attempt.response);
        m_responseMemory = std::move(attempt.memory);
        finish(result_code::ok);
        return;
    case retry_decision::give_up:
        finish(m_plan.finalCode());
        return;
    case retry_decision::retry:
        ++m_service->metrics.retries;
        m_retryPending = true;
        m_wakeTimer.cancel();
        return;
    case retry_decision::wait:
        return;
    }
}

void reverse_proxy::proxied_request::finish(result_code code)
{
    m_ended = true;
    m_endCode = code;
    for (const auto &[number, attempt] : m_inFlightAttempts) {
        if (attempt.connection) {
            attempt.connection->close();
        }
    }
    m_wakeTimer.cancel();
}

void reverse_proxy::proxied_request::armTimer()
{
    const time_point due = m_watchingCaller ? hedgeAt() : std::min(hedgeAt(), m_callerWatchAt);
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

void reverse_proxy::proxied_request::handleTimer()
{
    if (m_ended) {
        return;
    }
    const time_point now = steady::now();
    if (!m_watchingCaller && now >= m_callerWatchAt) {
        watchCallerDisconnect();
    }
    if (now >= hedgeAt()) {
        startHedge();
    }
    if (!m_ended) {
        armTimer();
    }
}

void reverse_proxy::proxied_request::watchCallerDisconnect()
{
    m_watchingCaller = true;
    m_callerExchange->watchCaller([self = shared_from_this()] {
        if (!self->m_ended) {
            self->finish(result_code::caller_gone);
        }
    });
}

void reverse_proxy::proxied_request::startHedge()
{
    const bool allowed = m_service->loadBalancer.shouldHedge(steady::now()) && m_plan.tryAcquireHedge(steady::now());
    const backend_handle backend = allowed ? selectBackend() : nullptr;
    if (!backend) {
        m_hedgeDenied = true;
        return;
    }
    ++m_service->metrics.hedges;
    startTask(m_proxy.m_context, "hedge", [self = shared_from_this(), backend] {
        return self->runAttempt(backend, "hedge");
    });
}

time_point reverse_proxy::proxied_request::attemptDeadline(std::uint32_t number, time_point now) const
{
    if (!m_traits.idempotent || m_traits.retriedByCaller || number + 1 >= request_plan::maxAttempts) {
        return m_traits.deadline;
    }
    // Leaves half of the remaining time for an attempt on another backend server.
    const auto half = (m_traits.deadline - now) / 2;
    return now + std::max<nanoseconds>(half, minAttemptTimeout) > m_traits.deadline
               ? m_traits.deadline
               : now + std::max<nanoseconds>(half, minAttemptTimeout);
}

time_point reverse_proxy::proxied_request::hedgeAt() const
{
    const double delayMs = m_service->loadBalancer.hedgeDelayMs();
    const bool possible = m_traits.idempotent && !m_traits.retriedByCaller && !m_hedgeDenied
                          && m_inFlightAttempts.size() == 1 && m_plan.attempts() < request_plan::maxAttempts
                          && delayMs > 0;
    if (!possible) {
        return time_point::max();
    }
    const auto delay = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(delayMs));
    return m_lastAttemptStartedAt + delay;
}

}
