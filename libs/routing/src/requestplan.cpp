#include "cardamomdeck/routing/requestplan.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Extra attempts that a quiet period can save up. */
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

outcome outcomeOf(const attempt_result &end)
{
    if (end.refused || !end.mayHaveSentBytes) {
        return outcome::not_run;
    }
    if (end.code == result_code::ok) {
        return outcome::answered;
    }
    return outcome::unknown;
}

bool isServerFailure(const attempt_result &end)
{
    constexpr unsigned firstServerFailure = 500;
    constexpr unsigned tooManyRequests = 429;
    if (end.code != result_code::ok) {
        return true;
    }
    return end.status >= firstServerFailure || end.status == tooManyRequests;
}

request_plan::request_plan(request_traits traits, attempt_budget &retries, attempt_budget &hedges)
    : m_traits(traits)
    , m_retries(retries)
    , m_hedges(hedges)
{
    m_retries.requestArrived();
    if (m_traits.idempotent) {
        m_hedges.requestArrived();
    }
}

void request_plan::attemptStarted()
{
    ++m_attempts;
    ++m_inFlight;
}

retry_decision request_plan::attemptEnded(const attempt_result &end, time_point now)
{
    --m_inFlight;
    const outcome known = outcomeOf(end);
    if (known == outcome::answered && !isServerFailure(end)) {
        return retry_decision::answer;
    }
    if (tryAcquireRetry(end, now)) {
        recordFailure(end);
        return retry_decision::retry;
    }
    if (m_inFlight > 0) {
        recordFailure(end);
        return retry_decision::wait;
    }
    if (known == outcome::answered) {
        return retry_decision::answer;
    }
    recordFailure(end);
    return retry_decision::give_up;
}

bool request_plan::tryAcquireHedge(time_point now)
{
    const bool allowed = m_traits.idempotent && !m_traits.retriedByCaller && m_inFlight == 1 && m_attempts < maxAttempts
                         && now < m_traits.deadline;
    return allowed && m_hedges.tryAcquire();
}

std::uint32_t request_plan::attempts() const
{
    return m_attempts;
}

result_code request_plan::finalCode() const
{
    return m_unknownCode.value_or(m_notRunCode);
}

bool request_plan::tryAcquireRetry(const attempt_result &end, time_point now)
{
    const bool harmless = m_traits.idempotent || outcomeOf(end) == outcome::not_run;
    const bool allowed = harmless && !m_traits.retriedByCaller && !end.retriedByBackend && m_inFlight == 0
                         && m_attempts < maxAttempts && now < m_traits.deadline;
    return allowed && m_retries.tryAcquire();
}

void request_plan::recordFailure(const attempt_result &end)
{
    if (outcomeOf(end) == outcome::not_run) {
        m_notRunCode = end.refused ? result_code::backend_refused : end.code;
        return;
    }
    m_unknownCode = end.code == result_code::ok ? result_code::connection_lost : end.code;
}

}
