#include "cardamomdeck/routing/requestplan.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Extra attempts that a quiet period can save up. */
constexpr std::uint64_t reserveAttempts = 10;

constexpr std::uint64_t hundred = 100;

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
    m_hundredths = std::min(m_hundredths + m_percent, reserveAttempts * hundred);
}

bool attempt_budget::take()
{
    if (m_hundredths < hundred) {
        return false;
    }
    m_hundredths -= hundred;
    ++m_taken;
    return true;
}

std::uint64_t attempt_budget::taken() const
{
    return m_taken;
}

outcome outcomeOf(const attempt_end &end)
{
    if (end.refused || !end.bytesSent) {
        return outcome::not_run;
    }
    if (end.code == result_code::ok) {
        return outcome::answered;
    }
    return outcome::unknown;
}

bool isServerFailure(const attempt_end &end)
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
    ++m_started;
    ++m_inFlight;
}

plan_step request_plan::attemptEnded(const attempt_end &end, time_point now)
{
    --m_inFlight;
    const outcome known = outcomeOf(end);
    if (known == outcome::answered && !isServerFailure(end)) {
        return plan_step::answer;
    }
    if (mayRetry(end, now)) {
        noteFailure(end);
        return plan_step::retry;
    }
    if (m_inFlight > 0) {
        noteFailure(end);
        return plan_step::wait;
    }
    if (known == outcome::answered) {
        return plan_step::answer;
    }
    noteFailure(end);
    return plan_step::give_up;
}

bool request_plan::takeHedge(time_point now)
{
    const bool allowed = m_traits.idempotent && !m_traits.retriedAbove && m_inFlight == 1 && m_started < mostAttempts
                         && now < m_traits.deadline;
    return allowed && m_hedges.take();
}

std::uint32_t request_plan::attempts() const
{
    return m_started;
}

result_code request_plan::finalCode() const
{
    return m_unknownCode.value_or(m_notRunCode);
}

bool request_plan::mayRetry(const attempt_end &end, time_point now)
{
    const bool harmless = m_traits.idempotent || outcomeOf(end) == outcome::not_run;
    const bool allowed = harmless && !m_traits.retriedAbove && !end.retriedBelow && m_inFlight == 0
                         && m_started < mostAttempts && now < m_traits.deadline;
    return allowed && m_retries.take();
}

void request_plan::noteFailure(const attempt_end &end)
{
    if (outcomeOf(end) == outcome::not_run) {
        m_notRunCode = end.refused ? result_code::backend_refused : end.code;
        return;
    }
    m_unknownCode = end.code == result_code::ok ? result_code::connection_lost : end.code;
}

}
