#include "cardamomdeck/routing/requestplan.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Maximum number of unused extra attempts that accumulate while few are needed. */
constexpr std::uint64_t maxSavedAttempts = 10;

constexpr std::uint64_t hundredthsPerAttempt = 100;

}

attempt_budget::attempt_budget(std::uint32_t percent)
    : m_percent(percent)
{
}

void attempt_budget::setPercent(std::uint32_t percent)
{
    m_percent = percent;
}

void attempt_budget::requestArrived()
{
    m_attemptHundredths = std::min(m_attemptHundredths + m_percent, maxSavedAttempts * hundredthsPerAttempt);
}

bool attempt_budget::tryAcquire()
{
    if (m_attemptHundredths < hundredthsPerAttempt) {
        return false;
    }
    m_attemptHundredths -= hundredthsPerAttempt;
    ++m_acquiredCount;
    return true;
}

std::uint64_t attempt_budget::acquiredCount() const
{
    return m_acquiredCount;
}

outcome outcomeOf(const attempt_result &result)
{
    if (result.refused || !result.mayHaveSentBytes) {
        return outcome::not_run;
    }
    if (result.code == result_code::ok) {
        return outcome::answered;
    }
    return outcome::unknown;
}

bool isServerFailure(const attempt_result &result)
{
    constexpr unsigned firstServerFailure = 500;
    constexpr unsigned tooManyRequests = 429;
    if (result.code != result_code::ok) {
        return true;
    }
    return result.status >= firstServerFailure || result.status == tooManyRequests;
}

request_plan::request_plan(request_traits traits, attempt_budget &retryBudget, attempt_budget &hedgeBudget)
    : m_traits(traits)
    , m_retryBudget(retryBudget)
    , m_hedgeBudget(hedgeBudget)
{
    m_retryBudget.requestArrived();
    if (m_traits.idempotent) {
        m_hedgeBudget.requestArrived();
    }
}

void request_plan::attemptStarted()
{
    ++m_attempts;
    ++m_inFlight;
}

retry_decision request_plan::attemptEnded(const attempt_result &result, time_point now)
{
    --m_inFlight;
    const outcome attemptOutcome = outcomeOf(result);
    if (attemptOutcome == outcome::answered && !isServerFailure(result)) {
        return retry_decision::answer;
    }
    if (tryAcquireRetry(result, now)) {
        recordFailure(result);
        return retry_decision::retry;
    }
    if (m_inFlight > 0) {
        recordFailure(result);
        return retry_decision::wait;
    }
    if (attemptOutcome == outcome::answered) {
        return retry_decision::answer;
    }
    recordFailure(result);
    return retry_decision::give_up;
}

bool request_plan::tryAcquireHedge(time_point now)
{
    const bool allowed = m_traits.idempotent && !m_traits.retriedByCaller && m_inFlight == 1 && m_attempts < maxAttempts
                         && now < m_traits.deadline;
    return allowed && m_hedgeBudget.tryAcquire();
}

std::uint32_t request_plan::attempts() const
{
    return m_attempts;
}

result_code request_plan::finalCode() const
{
    return m_unknownCode.value_or(m_notRunCode);
}

bool request_plan::tryAcquireRetry(const attempt_result &result, time_point now)
{
    const bool safeToRetry = m_traits.idempotent || outcomeOf(result) == outcome::not_run;
    const bool allowed = safeToRetry && !m_traits.retriedByCaller && !result.retriedByBackend && m_inFlight == 0
                         && m_attempts < maxAttempts && now < m_traits.deadline;
    return allowed && m_retryBudget.tryAcquire();
}

void request_plan::recordFailure(const attempt_result &result)
{
    if (outcomeOf(result) == outcome::not_run) {
        m_notRunCode = result.refused ? result_code::backend_refused : result.code;
        return;
    }
    m_unknownCode = result.code == result_code::ok ? result_code::connection_lost : result.code;
}

}
