#include "cardamomdeck/fleet/fleetsizeestimate.h"

#include <algorithm>

namespace cardamomdeck {

void fleet_size_estimate::record(std::size_t entries, time_point now)
{
    constexpr milliseconds partTime = retentionTime / partCount;
    if (now >= m_parts[m_current].endsAt) {
        m_current = (m_current + 1) % partCount;
        m_parts[m_current] = {0, now + partTime};
    }
    m_parts[m_current].maximum = std::max(m_parts[m_current].maximum, entries);
}

std::size_t fleet_size_estimate::entries(time_point now) const
{
    std::size_t maximum = 1;
    for (const part &recorded : m_parts) {
        if (now < recorded.endsAt + retentionTime) {
            maximum = std::max(maximum, recorded.maximum);
        }
    }
    return maximum;
}

}
