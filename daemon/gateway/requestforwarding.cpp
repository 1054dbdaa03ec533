#include "requestforwarding.h"

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

/** Longest time for connecting to a backend server; a reachable one accepts within some milliseconds. */
constexpr milliseconds connectTimeout{300};

/** Age of the last proof of life up to which a connection may carry a request that may run once only. */
constexpr milliseconds atMostOnceProof{50};

/** Connections that may fail before the request is given up. */
constexpr std::uint32_t mostConnectFailures = 3;

/** Least time in milliseconds that an attempt needs to be worth starting. */
constexpr double shortestAttemptMs = 5.0;

/** Time for which a server that answered for another one's address is left alone. */
constexpr milliseconds wrongServerPause{2000};

constexpr message_limits answerLimits{32U * 1024U, 128ULL * 1024 * 1024};

/** A second attempt starts when the first takes this many times as long as expected, and this part of the objective. */
constexpr double lateFactor = 2.5;
constexpr double latePart = 0.5;

}

request_forwarding::request_forwarding(forwarding_context &context, forwarded_request request)
    : m_context(context)
    , m_request(std::move(request))
    , m_selection(context, m_request)
    , m_wake(context.context)
{
}

asio::awaitable<forwarding_outcome> request_forwarding::run(http_session &session)
{
    const auto self = shared_from_this();
    session.watchCaller([self] { self->end(result_code::caller_gone); });
    m_request.service->repeats.noteRequest(m_request.arrival);
    co_await startAttempt();
    while (!m_ended) {
        subtractSuspension();
        const time_point now = steady::now();
        if (now >= m_request.deadline) {
            m_mayHaveRun = m_mayHaveRun || !m_live.empty();
            m_failure = m_mayHaveRun ? result_code::deadline_passed : m_failure;
            giveUp();
            break;
        }
        if (m_repeatWanted) {
            m_repeatWanted = false;
            co_await startAttempt();
            continue;
        }
        if (now >= hedgeAt()) {
            m_hedged = true;
            if (mayRepeat()) {
                co_await startAttempt();
                continue;
            }
        }
        m_wake.expires_at(std::min(m_request.deadline, hedgeAt()));
        co_await m_wake.async_wait(asTuple);
    }
    co_return std::move(m_outcome);
}

time_point request_forwarding::hedgeAt() const
{
    const bool possible = m_request.rule->repeat == repeat_policy::idempotent && !m_hedged && m_live.size() == 1;
    if (!possible) {
        return time_point::max();
    }
    const double objectiveMs = toMilliseconds(m_request.rule->latencyObjective);
    const double lateMs = std::max(lateFactor * m_expectedMs, latePart * objectiveMs);
    return m_live.front().startedAt
           + std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(lateMs));
}

asio::awaitable<void> request_forwarding::startAttempt()
{
    std::optional<chosen_backend> chosen = co_await m_selection.choose(m_tried);
    if (m_ended) {
        if (chosen) {
            m_selection.giveBack(*chosen);
        }
        co_return;
    }
    if (chosen) {
        m_lastLoad = chosen->load;
        m_probedCount = chosen->probed;
    }
    const std::optional<backend_choice> choice = chosen ? std::optional(chosen->choice) : std::nullopt;
    const choice_request wanted = describeChoice(m_request, steady::now());
    const admission_decision decision
        = admit(choice, wanted, m_request.rule->priority, m_request.mostUrgentPriority, m_context.random);
    if (!decision.admitted || wanted.deadlineMs < shortestAttemptMs) {
        if (chosen) {
            m_selection.giveBack(*chosen);
        }
        m_outcome.retryAfter = decision.retryAfter;
        if (m_live.empty()) {
            m_failure = m_mayHaveRun ? m_failure : (choice ? result_code::overloaded : m_failure);
            giveUp();
        }
        co_return;
    }
    ++m_attempts;
    ++m_request.service->metrics.attempts;
    m_tried.insert(chosen->backend->server.id);
    m_lastBackend = chosen->backend->server.id;
    m_expectedMs = chosen->choice.expectedMs;
    const std::uint32_t number = m_attempts;
    m_live.push_back({number, chosen->backend, nullptr, steady::now()});
    startTask(m_context.context, "attempt", [self = shared_from_this(), picked = std::move(*chosen), number] {
        return self->runAttempt(picked, number);
    });
}

asio::awaitable<connection_ptr> request_forwarding::openConnection(backend_traffic_ptr backend)
{
    const time_point now = steady::now();
    const milliseconds proof
        = m_request.rule->repeat == repeat_policy::idempotent ? connection_pool::idleLimit : atMostOnceProof;
    connection_ptr connection = m_context.pool.takeIdle(backend->server.id, now - proof);
    if (!connection) {
        connection = co_await m_context.prober.connect(backend, std::min(m_request.deadline, now + connectTimeout));
    }
    co_return connection;
}

asio::awaitable<void> request_forwarding::runAttempt(chosen_backend chosen, std::uint32_t number)
{
    const backend_traffic_ptr backend = chosen.backend;
    try {
        co_await attemptAt(std::move(chosen), number);
        co_return;
    } catch (...) {
        noteTaskFailure("attempt", std::current_exception());
    }
    // Nobody knows how far it came.
    std::erase_if(m_live, [number](const attempt &live) { return live.number == number; });
    if (!m_ended) {
        fail(*backend, result_code::internal_error, true, mayRepeatUnknown());
        m_wake.cancel();
    }
}

asio::awaitable<void> request_forwarding::attemptAt(chosen_backend chosen, std::uint32_t number)
{
    const backend_traffic_ptr backend = chosen.backend;
    connection_ptr connection = chosen.connection;
    if (!connection) {
        connection = co_await openConnection(backend);
    }
    if (m_ended) {
        if (connection) {
            m_context.pool.giveBack(backend->server.id, connection);
        }
        co_return;
    }
    exchange_result result;
    subtractSuspension();
    const time_point startedAt = steady::now();
    const auto left = std::chrono::floor<milliseconds>(m_request.deadline - startedAt);
    if (!connection || left <= milliseconds(0)) {
        result.code = result_code::connect_failed;
    } else {
        std::ranges::find(m_live, number, &attempt::number)->connection = connection;
        http_request message = m_request.message;
        platform::addressTo(message, backend->server.id, left);
        answer_rules rules;
        rules.accepts = [id = m_request.id](const http_response &response) {
            return platform::mayAnswer(response, id);
        };
        rules.unframed = true;
        rules.budget = &m_context.memory;
        const count_guard inFlight(backend->inFlight);
        ++backend->sent;
        result = co_await connection->exchange(std::move(message), answerLimits, m_request.deadline, std::move(rules));
        m_context.pool.giveBack(backend->server.id, connection);
    }
    std::erase_if(m_live, [number](const attempt &live) { return live.number == number; });
    if (!m_ended) {
        settle(backend, std::move(result), startedAt);
        m_wake.cancel();
    }
}

void request_forwarding::settle(const backend_traffic_ptr &backend, exchange_result result, time_point startedAt)
{
    const time_point now = steady::now();
    if (result.code == result_code::ok) {
        noteAnswer(backend, std::move(result), startedAt);
        return;
    }
    if (now < m_request.deadline) {
        backend->health.noteFailure(now);
    }
    if (!result.bytesSent) {
        --m_attempts;
        fail(*backend, result_code::connect_failed, false, ++m_connectFailures <= mostConnectFailures);
        return;
    }
    fail(*backend, result.code, true, mayRepeatUnknown());
}

void request_forwarding::noteAnswer(const backend_traffic_ptr &backend, exchange_result result, time_point startedAt)
{
    const time_point now = steady::now();
    switch (platform::classifyAnswer(result.response, m_request.id)) {
    case platform::answer_kind::genuine:
        break;
    case platform::answer_kind::wrong_server:
        backend->avoidedUntil = now + wrongServerPause;
        fail(*backend, result_code::backend_refused, false, mayRepeat());
        return;
    case platform::answer_kind::not_run:
        fail(*backend, result_code::backend_refused, false, mayRepeat());
        return;
    case platform::answer_kind::corrupt:
        backend->health.noteFailure(now);
        fail(*backend, result_code::answer_malformed, true, mayRepeatUnknown());
        return;
    }
    constexpr unsigned firstServerError = 500;
    const bool serverError = result.response.result_int() >= firstServerError;
    if (serverError) {
        backend->health.noteFailure(now);
        if (mayRepeatUnknown()) {
            m_lastAnswer = std::move(result);
            fail(*backend, result_code::answer_malformed, true, true);
            return;
        }
    } else {
        backend->health.noteSuccess(now);
        learnWork(toMilliseconds(now - startedAt));
    }
    m_outcome.response = std::move(result.response);
    m_outcome.memory = std::move(result.memory);
    end(result_code::ok);
}

void request_forwarding::learnWork(double tookMs)
{
    if (!m_lastLoad || m_attempts != 1 || m_lastLoad->running >= m_lastLoad->slots) {
        return;
    }
    const double workMs = tookMs / std::max(1.0, m_lastLoad->pace);
    service_traffic &service = *m_request.service;
    service.workMs.add(workMs);
    service.ruleWorkMs.try_emplace(m_request.rule->name, service_traffic::sampleWeight).first->second.add(workMs);
}

void request_forwarding::subtractSuspension()
{
    m_request.deadline -= m_suspension.look();
}

bool request_forwarding::mayRepeatUnknown()
{
    return m_request.rule->repeat == repeat_policy::idempotent && mayRepeat();
}

bool request_forwarding::mayRepeat()
{
    const time_point now = steady::now();
    if (m_attempts >= m_request.rule->mostAttempts || toMilliseconds(m_request.deadline - now) < shortestAttemptMs) {
        return false;
    }
    if (!m_request.service->repeats.take(now, m_request.liveMembers)) {
        return false;
    }
    ++m_request.service->metrics.retries;
    return true;
}

void request_forwarding::fail(const backend_traffic &backend, result_code code, bool mayHaveRun, bool repeat)
{
    m_failures += (m_failures.empty() ? "" : ",") + backend.server.id + ":" + std::string(infoOf(code).name);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    if (mayHaveRun || !m_mayHaveRun) {
        m_failure = code;
    }
    if (repeat) {
        m_repeatWanted = true;
        return;
    }
    if (m_live.empty()) {
        giveUp();
    }
}

void request_forwarding::giveUp()
{
    if (m_lastAnswer) {
        // The server's own failure tells the caller more than one of ours.
        m_outcome.response = std::move(m_lastAnswer->response);
        m_outcome.memory = std::move(m_lastAnswer->memory);
        end(result_code::ok);
        return;
    }
    end(m_failure);
}

void request_forwarding::end(result_code code)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    m_selection.cancel();
    m_outcome.code = code;
    if (m_outcome.retryAfter.count() == 0) {
        m_outcome.retryAfter = returnPause(m_expectedMs, describeChoice(m_request, steady::now()), m_context.random);
    }
    for (const attempt &live : m_live) {
        if (live.connection) {
            live.connection->close();
        }
    }
    m_wake.cancel();
}

const forwarded_request &request_forwarding::request() const
{
    return m_request;
}

const std::string &request_forwarding::failures() const
{
    return m_failures;
}

std::size_t request_forwarding::probed() const
{
    return m_probedCount;
}

std::uint32_t request_forwarding::attempts() const
{
    return m_attempts;
}

const std::string &request_forwarding::lastBackend() const
{
    return m_lastBackend;
}

double request_forwarding::expectedMs() const
{
    return m_expectedMs;
}

std::optional<load_report> request_forwarding::lastLoad() const
{
    return m_lastLoad;
}

}
