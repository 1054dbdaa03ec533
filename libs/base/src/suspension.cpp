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

suspension_detector::suspension_detector(std::function<nanoseconds()> total)
    : m_total(std::move(total))
    , m_lastTotal(m_total())
{
}

nanoseconds suspension_detector::poll()
{
    const nanoseconds total = m_total();
    const nanoseconds slept = total - m_lastTotal;
    if (slept < minSuspension) {
        return nanoseconds(0);
    }
    m_lastTotal = total;
    return slept;
}

pause_detector::pause_detector(time_point now, suspension_detector suspension)
    : m_lastPollAt(now)
    , m_suspension(std::move(suspension))
{
}

nanoseconds pause_detector::poll(time_point now)
{
    const nanoseconds stopped = now - m_lastPollAt;
    m_lastPollAt = now;
    const nanoseconds suspended = m_suspension.poll();
    if (suspended == nanoseconds(0) && (stopped < minPause || now < m_cooldownEndsAt)) {
        return nanoseconds(0);
    }
    m_cooldownEndsAt = now + pauseCooldown;
    return std::max(suspended, stopped);
}

}
