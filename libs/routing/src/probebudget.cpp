#include "cardamomdeck/routing/probebudget.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

constexpr seconds budgetWindow{10};

}

void probe_budget::grantShare(std::uint32_t probesPerTenSeconds, std::uint32_t ceiling, time_point notBefore)
{
    // Rounds the share down to an integer; otherwise, rounding could let the sum over all entries exceed the budget.
    const std::uint32_t share = probesPerTenSeconds / std::max(ceiling, 1U);
    m_hasShare = share > 0;
    if (!m_hasShare) {
        return;
    }
    // Rounds the interval up, so that a window cannot contain one probe more than the share.
    m_minInterval = nanoseconds(budgetWindow) / share + nanoseconds(1);
    m_nextProbeAt = std::max(m_nextProbeAt, notBefore);
}

void probe_budget::revoke()
{
    m_hasShare = false;
}

bool probe_budget::tryAcquire(time_point now)
{
    if (!m_hasShare || now < m_nextProbeAt) {
        return false;
    }
    m_nextProbeAt = now + m_minInterval;
    return true;
}

}
