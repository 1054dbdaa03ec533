#include "cardamomdeck/fleet/readschedule.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Processor time and size of one backend server report. */
constexpr double microsecondsPerReport = 10.0;
constexpr double bitsPerReport = 2800.0;

constexpr double maxReportsPerSecond = 1e9;

}

std::uint32_t estimateReadCapacity(double cores, double linkMbps)
{
    constexpr double million = 1e6;
    const double byProcessor = cores * million / microsecondsPerReport;
    const double byLink = linkMbps * million / bitsPerReport;
    return static_cast<std::uint32_t>(std::clamp(std::min(byProcessor, byLink), 0.0, maxReportsPerSecond));
}

void read_schedule::recordFresh(time_point at)
{
    m_freshAt = std::max(m_freshAt, at);
}

void read_schedule::recordFailure(time_point now)
{
    m_retryDelay = std::clamp(m_retryDelay * 2, minRetryDelay, maxRetryDelay);
    m_failedAt = now;
}

void read_schedule::recordSuccess()
{
    m_retryDelay = milliseconds(0);
}

void read_schedule::invalidate(time_point now)
{
    m_freshAt = std::min(m_freshAt, now - maxReadAge);
    m_retryDelay = milliseconds(0);
}

time_point read_schedule::retryAt(std::size_t rank, std::size_t members) const
{
    if (m_retryDelay == milliseconds(0)) {
        return time_point::min();
    }
    if (rank < fastRetryMembers) {
        return m_failedAt + m_retryDelay;
    }
    if (m_freshAt > m_failedAt) {
        // Another entry has read the store since.
        return time_point::min();
    }
    const auto ownRank = static_cast<milliseconds::rep>(rank);
    const auto memberCount = static_cast<milliseconds::rep>(std::max(rank + 1, members));
    const milliseconds delay = std::max(slowRetryDelay, slowRetryDelayPerMember * memberCount);
    return m_failedAt + delay / 2 + delay * ownRank / (2 * memberCount);
}

time_point read_schedule::nextRead(std::size_t rank, std::size_t members) const
{
    const auto rankSteps = static_cast<microseconds::rep>(rank);
    const auto memberCount = static_cast<microseconds::rep>(std::max(rank + 1, members));
    const microseconds stagger = std::min(maxReadAgeStagger, maxReadAgeSpread / memberCount);
    const microseconds maxAge = maxReadAge - stagger * (memberCount - rankSteps);
    const microseconds age = std::min<microseconds>(maxAge, minReadAge + readAgeStepPerRank * rankSteps);
    return std::max(m_freshAt + age, retryAt(rank, members));
}

time_point read_schedule::freshAt() const
{
    return m_freshAt;
}

}
