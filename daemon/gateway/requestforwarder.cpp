#include "requestforwarder.h"

#include "cardamomdeck/base/countguard.h"
#include "cardamomdeck/dispatch/admission.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/platform/exchangeheaders.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Connect timeout for a backend server; a reachable one accepts within a few milliseconds. */
constexpr milliseconds connectTimeout{300};

/** Maximum time since a connection was last verified as alive for it to carry a non-idempotent request. */
constexpr milliseconds atMostOnceMaxIdle{50};

/** Number of failed connections after which a request is still retried. */
constexpr std::uint32_t maxConnectFailures = 3;

/** Minimum remaining time in milliseconds for starting an attempt. */
constexpr double minAttemptMs = 5.0;

/** Time for which a server is avoided after another server has responded at its address. */
constexpr milliseconds wrongServerAvoidTime{2000};

constexpr message_limits responseLimits{32U * 1024U, 128ULL * 1024 * 1024};

/**
 * A hedged attempt starts once the first one has taken this multiple of the expected latency and this share of the
 * latency objective.
 */
constexpr double hedgeLatencyFactor = 2.5;
constexpr double hedgeObjectiveShare = 0.5;

}

request_forwarder::request_forwarder(forwarding_context &context, forwarded_request request)
    : m_context(context)
    , m_request(std::move(request))
    , m_selector(context, m_request)
    , m_wakeTimer(context.context)
    , m_attempts(m_request.rule->maxAttempts)
{
}

asio::awaitable<forwarding_outcome> request_forwarder::run(http_exchange &exchange)
{
    const auto self = shared_from_this();
    exchange.watchCaller([self] { self->finish(result_code::caller_gone); });
    m_request.service->retryBudget.recordRequest(m_request.arrivedAt);
    m_attempts.tryReserve();
    co_await startAttempt();
    while (!m_finished) {
        subtractSuspension();
        const time_point now = steady::now();
        if (now >= m_request.deadline) {
            m_mayHaveRun = m_mayHaveRun || !m_inFlightAttempts.empty();
            m_failureCode = m_mayHaveRun ? result_code::deadline_passed : m_failureCode;
            finishFailed();
            break;
        }
        if (m_retryPending) {
            m_retryPending = false;
            co_await startAttempt();
            continue;
        }
        if (now >= hedgeAt()) {
            m_hedged = true;
            if (acquireRetry()) {
                co_await startAttempt();
                continue;
            }
        }
        m_wakeTimer.expires_at(std::min(m_request.deadline, hedgeAt()));
        co_await m_wakeTimer.async_wait(asTuple);
    }
    co_return std::move(m_outcome);
}

time_point request_forwarder::hedgeAt() const
{
    const bool canHedge
        = m_request.rule->retryPolicy == retry_policy::idempotent && !m_hedged && m_inFlightAttempts.size() == 1;
    if (!canHedge) {
        return time_point::max();
    }
    const double latencyObjectiveMs = toMilliseconds(m_request.rule->latencyObjective);
    const double hedgeDelayMs
        = std::max(hedgeLatencyFactor * m_expectedLatencyMs, hedgeObjectiveShare * latencyObjectiveMs);
    return m_inFlightAttempts.front().startedAt
           + std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(hedgeDelayMs));
}

asio::awaitable<void> request_forwarder::startAttempt()
{
    std::optional<chosen_backend> chosen = co_await m_selector.choose(m_triedBackends);
    if (m_finished) {
        if (chosen) {
            m_selector.releaseConnection(*chosen);
        }
        co_return;
    }
    if (chosen) {
        m_lastLoad = chosen->load;
        m_candidateCount = chosen->candidateCount;
    }
    const std::optional<backend_choice> choice = chosen ? std::optional(chosen->choice) : std::nullopt;
    const choice_request choiceRequest = makeChoiceRequest(m_request, steady::now());
    const admission_decision decision
        = admit(choice, choiceRequest, m_request.priority, m_request.mostUrgentPriority, m_context.random);
    if (!decision.admitted || choiceRequest.remainingMs < minAttemptMs) {
        if (chosen) {
            m_selector.releaseConnection(*chosen);
        }
        m_attempts.releaseReservation();
        m_outcome.retryAfter = decision.retryAfter;
        if (!chosen) {
            considerWithheldBackends();
        }
        if (m_inFlightAttempts.empty()) {
            m_failureCode = m_mayHaveRun ? m_failureCode : (choice ? result_code::overloaded : m_failureCode);
            finishFailed();
        }
        co_return;
    }
    const std::uint32_t number = m_attempts.start();
    ++m_request.service->metrics.attempts;
    m_selector.recordSent(*chosen);
    m_triedBackends.insert(chosen->backend->server.id);
    m_lastBackend = chosen->backend->server.id;
    m_expectedLatencyMs = chosen->choice.expectedLatencyMs;
    m_inFlightAttempts.push_back({number, chosen->backend, nullptr, steady::now()});
    startTask(m_context.context, "attempt", [self = shared_from_this(), selected = std::move(*chosen), number] {
        return self->runAttempt(selected, number);
    });
}

asio::awaitable<connection_ptr> request_forwarder::openConnection(backend_state_ptr backend)
{
    const time_point now = steady::now();
    const milliseconds maxIdleTime
        = m_request.rule->retryPolicy == retry_policy::idempotent ? connection_pool::maxIdleTime : atMostOnceMaxIdle;
    connection_ptr connection = m_context.pool.acquireIdle(backend->server.id, now - maxIdleTime);
    if (!connection) {
        connection = co_await m_context.prober.connect(backend, std::min(m_request.deadline, now + connectTimeout));
    }
    co_return connection;
}

asio::awaitable<void> request_forwarder::runAttempt(chosen_backend chosen, std::uint32_t number)
{
    const backend_state_ptr backend = chosen.backend;
    try {
        co_await sendAttempt(std::move(chosen), number);
        co_return;
    } catch (...) {
        logTaskFailure("attempt", std::current_exception());
    }
    // It is unknown how far the attempt got, so the request may have run.
    std::erase_if(m_inFlightAttempts,
                  [number](const attempt &inFlightAttempt) { return inFlightAttempt.number == number; });
    if (!m_finished) {
        recordAttemptFailure(*backend, result_code::internal_error, true, acquireIdempotentRetry());
        m_wakeTimer.cancel();
    }
}

asio::awaitable<void> request_forwarder::sendAttempt(chosen_backend chosen, std::uint32_t number)
{
    const backend_state_ptr backend = chosen.backend;
    connection_ptr connection = chosen.connection;
    if (!connection && backend->availability->isAvailable(steady::now()) && !m_context.isEvacuated(*backend)) {
        connection = co_await openConnection(backend);
    }
    // The process may have been paused while the server was chosen, and the zone evacuated meanwhile.
    co_await awaitCurrentView(m_context);
    if (m_finished) {
        if (connection) {
            m_context.announcements.releaseConnection(*backend, connection);
        }
        co_return;
    }
    exchange_result result;
    subtractSuspension();
    const time_point startedAt = steady::now();
    const auto remaining = std::chrono::floor<milliseconds>(m_request.deadline - startedAt);
    // The server may have announced something since it was chosen, or its zone may have been evacuated.
    const bool canSend = connection && remaining > milliseconds(0);
    const bool withheld
        = !backend->availability->isAvailable(startedAt) || m_context.isEvacuated(*backend)
          || (canSend && !m_context.coldRequests.tryStartRequest(*m_request.service, *backend, startedAt));
    if (withheld || !canSend) {
        result.code = withheld ? result_code::backends_withheld : result_code::connect_failed;
        if (connection) {
            m_context.announcements.releaseConnection(*backend, connection);
        }
    } else {
        backend->availability->tryStartRequest(startedAt);
        std::ranges::find(m_inFlightAttempts, number, &attempt::number)->connection = connection;
        http_request message = m_request.message;
        platform::setBackendHeaders(message, backend->server.id, remaining);
        response_rules rules;
        rules.match = [id = m_request.id](const http_response &response) {
            return platform::matchRequest(response, id);
        };
        rules.headerReceived = [this, backend](const http_response &response) {
            recordAnnouncement(*backend, response);
        };
        rules.acceptsCloseDelimited = true;
        rules.budget = &m_context.bodyMemory;
        const count_guard inFlightGuard(backend->inFlight);
        ++backend->sentRequests;
        result
            = co_await connection->exchange(std::move(message), responseLimits, m_request.deadline, std::move(rules));
        updateAvailability(*backend, result);
        m_selector.recordExchange(chosen, result);
        m_context.announcements.releaseConnection(*backend, connection);
    }
    std::erase_if(m_inFlightAttempts,
                  [number](const attempt &inFlightAttempt) { return inFlightAttempt.number == number; });
    if (!m_finished) {
        handleAttemptEnd(backend, std::move(result), startedAt);
        m_wakeTimer.cancel();
    }
}

void request_forwarder::handleAttemptEnd(const backend_state_ptr &backend, exchange_result result, time_point startedAt)
{
    const time_point now = steady::now();
    if (result.code == result_code::ok) {
        handleResponse(backend, std::move(result), startedAt);
        return;
    }
    if (result.code == result_code::backends_withheld) {
        m_attempts.cancelUnsent();
        m_request.service->metrics.withheldRequests += backend->isCold(now) ? 0 : 1;
        recordAttemptFailure(*backend, result.code, false, m_retryPending || m_attempts.tryReserve());
        return;
    }
    if (now < m_request.deadline) {
        backend->health.recordFailure(now);
    }
    if (!result.mayHaveSentBytes) {
        m_attempts.cancelUnsent();
        const bool shouldRetry
            = ++m_connectFailures <= maxConnectFailures && (m_retryPending || m_attempts.tryReserve());
        recordAttemptFailure(*backend, result_code::connect_failed, false, shouldRetry);
        return;
    }
    recordAttemptFailure(*backend, result.code, true, acquireIdempotentRetry());
}

void request_forwarder::handleResponse(const backend_state_ptr &backend, exchange_result result, time_point startedAt)
{
    const time_point now = steady::now();
    switch (platform::classifyResponse(result.response, m_request.id)) {
    case platform::response_kind::valid:
        break;
    case platform::response_kind::wrong_server:
        backend->avoidedUntil = now + wrongServerAvoidTime;
        recordAttemptFailure(*backend, result_code::backend_refused, false, acquireRetry());
        return;
    case platform::response_kind::not_run:
        recordAttemptFailure(*backend, result_code::backend_refused, false, acquireRetry());
        return;
    case platform::response_kind::invalid:
        backend->health.recordFailure(now);
        recordAttemptFailure(*backend, result_code::answer_malformed, true, acquireIdempotentRetry());
        return;
    }
    constexpr unsigned firstServerError = 500;
    const bool isServerError = result.response.result_int() >= firstServerError;
    if (isServerError) {
        backend->health.recordFailure(now);
        if (acquireIdempotentRetry()) {
            m_lastErrorResponse = std::move(result);
            recordAttemptFailure(*backend, result_code::answer_malformed, true, true);
            return;
        }
    } else {
        backend->health.recordSuccess(now);
        recordServiceTime(toMilliseconds(now - startedAt));
    }
    m_outcome.response = std::move(result.response);
    m_outcome.memory = std::move(result.memory);
    finish(result_code::ok);
}

void request_forwarder::recordAnnouncement(backend_state &backend, const http_response &response)
{
    const platform::response_kind kind = platform::classifyResponse(response, m_request.id);
    if (kind != platform::response_kind::wrong_server && !m_request.id.empty()) {
        m_context.announcements.record(backend, platform::decodeAnnouncement(response), m_request.id);
    }
}

void request_forwarder::updateAvailability(backend_state &backend, const exchange_result &result)
{
    if (result.code != result_code::ok) {
        backend.availability->recordFailure();
        return;
    }
    if (platform::classifyResponse(result.response, m_request.id) == platform::response_kind::valid) {
        backend.availability->recordResponse();
    } else {
        backend.availability->recordFailure();
    }
}

void request_forwarder::considerWithheldBackends()
{
    const time_point now = steady::now();
    m_outcome.withheld = withheldBackends(*m_request.service, *m_context.evacuatedZones, now, m_request.zones);
    if (m_outcome.withheld == withheld_backends()) {
        return;
    }
    if (m_outcome.withheld.cold > 0) {
        ++m_request.service->coldRequests.withheld;
        m_outcome.retryAfter = m_context.coldRequests.retryDelay(*m_request.service, now);
    } else {
        ++m_request.service->metrics.withheldRequests;
    }
    if (m_failedAttempts.empty()) {
        m_failureCode = result_code::backends_withheld;
    }
    if (m_outcome.withheld.earliestEnd && m_outcome.withheld.cold == 0) {
        const auto untilEnd = std::chrono::ceil<milliseconds>(*m_outcome.withheld.earliestEnd - now);
        m_outcome.retryAfter
            = retryDelayAfterPause(untilEnd, m_request.priority, m_request.mostUrgentPriority, m_context.random);
    } else if (m_outcome.withheld.evacuated > 0) {
        m_outcome.retryAfter = spreadRetryDelay(m_outcome.retryAfter, m_context.random);
    }
}

void request_forwarder::recordServiceTime(double durationMs)
{
    if (!m_lastLoad || m_attempts.started() != 1 || m_lastLoad->running >= m_lastLoad->slots) {
        return;
    }
    const double serviceTimeMs = durationMs / std::max(1.0, m_lastLoad->slowdown);
    service_state &service = *m_request.service;
    service.serviceTimeMs.add(serviceTimeMs);
    service.ruleServiceTimeMs.try_emplace(m_request.rule->name, service_state::sampleWeight)
        .first->second.add(serviceTimeMs);
}

void request_forwarder::subtractSuspension()
{
    m_request.deadline -= m_suspension.poll();
}

bool request_forwarder::acquireIdempotentRetry()
{
    return m_request.rule->retryPolicy == retry_policy::idempotent && acquireRetry();
}

bool request_forwarder::acquireRetry()
{
    if (m_retryPending) {
        // One retry serves for all attempts that fail before it starts.
        return true;
    }
    const time_point now = steady::now();
    if (toMilliseconds(m_request.deadline - now) < minAttemptMs || !m_attempts.tryReserve()) {
        return false;
    }
    if (!m_request.service->retryBudget.tryAcquire(now, m_request.liveMembers)) {
        m_attempts.releaseReservation();
        return false;
    }
    ++m_request.service->metrics.retries;
    return true;
}

void request_forwarder::recordAttemptFailure(const backend_state &backend,
                                             result_code code,
                                             bool mayHaveRun,
                                             bool shouldRetry)
{
    m_failedAttempts
        += (m_failedAttempts.empty() ? "" : ",") + backend.server.id + ":" + std::string(infoOf(code).name);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (mayHaveRun || !m_mayHaveRun) {
        m_failureCode = code;
    }
    if (shouldRetry) {
        m_retryPending = true;
        return;
    }
    // An attempt whose server is being chosen may still succeed.
    if (m_inFlightAttempts.empty() && !m_attempts.hasReservation()) {
        finishFailed();
    }
}

void request_forwarder::finishFailed()
{
    if (m_lastErrorResponse) {
        // The error response of the backend server is more specific than a generated one.
        m_outcome.response = std::move(m_lastErrorResponse->response);
        m_outcome.memory = std::move(m_lastErrorResponse->memory);
        finish(result_code::ok);
        return;
    }
    finish(m_failureCode);
}

void request_forwarder::finish(result_code code)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_selector.cancel();
    m_outcome.code = code;
    if (m_outcome.retryAfter.count() == 0) {
        m_outcome.retryAfter
            = retryDelay(m_expectedLatencyMs, makeChoiceRequest(m_request, steady::now()), m_context.random);
    }
    for (const attempt &inFlightAttempt : m_inFlightAttempts) {
        if (inFlightAttempt.connection) {
            inFlightAttempt.connection->close();
        }
    }
    m_wakeTimer.cancel();
}

const forwarded_request &request_forwarder::request() const
{
    return m_request;
}

const std::string &request_forwarder::failedAttempts() const
{
    return m_failedAttempts;
}

std::size_t request_forwarder::candidateCount() const
{
    return m_candidateCount;
}

std::uint32_t request_forwarder::attempts() const
{
    return m_attempts.started();
}

const std::string &request_forwarder::lastBackend() const
{
    return m_lastBackend;
}

double request_forwarder::expectedLatencyMs() const
{
    return m_expectedLatencyMs;
}

std::optional<load_report> request_forwarder::lastLoad() const
{
    return m_lastLoad;
}

}
