#include "cardamomdeck/base/suspension.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace cardamomdeck {

nanoseconds suspendedTotal()
{
    timespec withSuspension{};
    timespec without{};
    clock_gettime(CLOCK_BOOTTIME, &withSuspension);
    clock_gettime(CLOCK_MONOTONIC, &without);
    return seconds(withSuspension.tv_sec - without.tv_sec) + nanoseconds(withSuspension.tv_nsec - without.tv_nsec);
}

suspension_meter::suspension_meter(std::function<nanoseconds()> total)
    : m_total(std::move(total))
    , m_seen(m_total())
{
}

nanoseconds suspension_meter::look()
{
    const nanoseconds total = m_total();
    const nanoseconds slept = total - m_seen;
    if (slept < shortestSuspension) {
        return nanoseconds(0);
    }
    m_seen = total;
    return slept;
}

pause_meter::pause_meter(time_point now, suspension_meter suspension)
    : m_lookedAt(now)
    , m_suspension(std::move(suspension))
{
}

nanoseconds pause_meter::look(time_point now)
{
    const nanoseconds stopped = now - m_lookedAt;
    m_lookedAt = now;
    const nanoseconds suspended = m_suspension.look();
    if (suspended == nanoseconds(0) && (stopped < shortestPause || now < m_quietUntil)) {
        return nanoseconds(0);
    }
    m_quietUntil = now + quietTime;
    return std::max(suspended, stopped);
}

}
