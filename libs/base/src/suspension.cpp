#include "cardamomdeck/base/suspension.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace cardamomdeck {

nanoseconds suspendedTotal()
{
    timespec withSuspension{};
    timespec withoutSuspension{};
    clock_gettime(CLOCK_BOOTTIME, &withSuspension);
    clock_gettime(CLOCK_MONOTONIC, &withoutSuspension);
    return seconds(withSuspension.tv_sec - withoutSuspension.tv_sec)
           + nanoseconds(withSuspension.tv_nsec - withoutSuspension.tv_nsec);
}

suspension_detector::suspension_detector(std::function<nanoseconds()> readTotal)
    : m_readTotal(std::move(readTotal))
    , m_lastTotal(m_readTotal())
{
}

nanoseconds suspension_detector::poll()
{
    const nanoseconds total = m_readTotal();
    const nanoseconds suspendedTime = total - m_lastTotal;
    if (suspendedTime < minSuspension) {
        return nanoseconds(0);
    }
    m_lastTotal = total;
    return suspendedTime;
}

pause_detector::pause_detector(time_point now, suspension_detector suspension)
    : m_lastPollAt(now)
    , m_suspension(std::move(suspension))
{
}

nanoseconds pause_detector::poll(time_point now)
{
    const nanoseconds sinceLastPoll = now - m_lastPollAt;
    m_lastPollAt = now;
    const nanoseconds suspended = m_suspension.poll();
    if (suspended == nanoseconds(0) && (sinceLastPoll < minPause || now < m_cooldownEndsAt)) {
        return nanoseconds(0);
    }
    m_cooldownEndsAt = now + pauseCooldown;
    return std::max(suspended, sinceLastPoll);
}

}
