#include "cardamomdeck/routing/probebudget.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

constexpr seconds budgetWindow{10};

}

void probe_budget::entitle(std::uint32_t probesPerTenSeconds, std::uint32_t ceiling, time_point notBefore)
{
    // Whole probes for each entry: a fraction would let the rounded sum pass the budget.
    const std::uint32_t share = probesPerTenSeconds / std::max(ceiling, 1U);
    m_entitled = share > 0;
    if (!m_entitled) {
        return;
    }
    // Rounds the gap up, so that the window cannot hold one probe more than the share.
    m_gap = nanoseconds(budgetWindow) / share + nanoseconds(1);
    m_nextProbe = std::max(m_nextProbe, notBefore);
}

void probe_budget::revoke()
{
    m_entitled = false;
}

bool probe_budget::take(time_point now)
{
    if (!m_entitled || now < m_nextProbe) {
        return false;
    }
    m_nextProbe = now + m_gap;
    return true;
}

}
