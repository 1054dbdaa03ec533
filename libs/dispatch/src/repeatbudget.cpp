#include "cardamomdeck/dispatch/repeatbudget.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Part of the budget that is used; the rest covers entries that do not know of each other yet. */
constexpr double usedPart = 0.8;

}

repeat_budget::repeat_budget(repeat_limits limits)
    : m_limits(limits)
{
}

void repeat_budget::expire(time_point now)
{
    const time_point start = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() <= start) {
        m_requests.pop_front();
    }
    while (!m_repeats.empty() && m_repeats.front() <= start) {
        m_repeats.pop_front();
    }
}

void repeat_budget::noteRequest(time_point now)
{
    expire(now);
    m_requests.push_back(now);
}

bool repeat_budget::take(time_point now, std::size_t entries)
{
    expire(now);
    const double ownReserve = m_limits.reserve / static_cast<double>(std::max<std::size_t>(1, entries));
    const double allowed = usedPart * (m_limits.ratio * static_cast<double>(m_requests.size()) + ownReserve);
    if (static_cast<double>(m_repeats.size()) + 1.0 > allowed) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

}
