#include "cardamomdeck/dispatch/retrybudget.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Share of the budget that is used; the rest covers entries that have not discovered each other yet. */
constexpr double safetyFactor = 0.8;

}

retry_budget::retry_budget(retry_limits limits)
    : m_limits(limits)
{
}

void retry_budget::expire(time_point now)
{
    const time_point windowStart = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() <= windowStart) {
        m_requests.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() <= windowStart) {
        m_retries.pop_front();
    }
}

void retry_budget::recordRequest(time_point now)
{
    expire(now);
    m_requests.push_back(now);
}

bool retry_budget::tryAcquire(time_point now, std::size_t entries)
{
    expire(now);
    const double ownReserve = m_limits.reserve / static_cast<double>(std::max<std::size_t>(1, entries));
    const double allowed = safetyFactor * (m_limits.ratio * static_cast<double>(m_requests.size()) + ownReserve);
    if (static_cast<double>(m_retries.size()) + 1.0 > allowed) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

}
