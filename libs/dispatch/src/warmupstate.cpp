#include "cardamomdeck/dispatch/warmupstate.h"

#include <algorithm>

namespace cardamomdeck {

void warmup_state::recordProbe(milliseconds remaining, time_point sentAt, time_point now)
{
    const time_point endsAt = now + remaining;
    if (endsAt < m_coldUntil && sentAt < m_probedAt) {
        return;
    }
    m_coldUntil = endsAt;
    m_probedEnd = endsAt;
    m_probedAt = now;
}

void warmup_state::recordReport(time_point endsAt)
{
    if (m_reportedEnd == endsAt) {
        return;
    }
    m_reportedEnd = endsAt;
    if (!m_probedEnd || endsAt > *m_probedEnd + maxReportDelay) {
        m_coldUntil = endsAt;
    }
}

void warmup_state::recordRestart(time_point endsAt)
{
    m_reportedEnd = endsAt;
    m_coldUntil = std::max(m_coldUntil, endsAt);
}

time_point warmup_state::coldUntil() const
{
    return m_coldUntil;
}

bool warmup_state::isCold(time_point now) const
{
    return m_coldUntil > now;
}

}
