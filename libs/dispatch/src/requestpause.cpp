#include "cardamomdeck/dispatch/requestpause.h"

#include <algorithm>
#include <chrono>

namespace cardamomdeck {

namespace {

/** Maximum random delay of the end of a pause, as a share of the pause and in absolute terms. */
constexpr double pauseSpreadShare = 0.2;
constexpr milliseconds maxPauseSpread{500};

}

bool request_pause::record(time_point now, milliseconds duration, random_source &random)
{
    const double spreadMs = std::min(pauseSpreadShare * toMilliseconds(duration), toMilliseconds(maxPauseSpread));
    const auto spread
        = std::chrono::round<microseconds>(std::chrono::duration<double, std::milli>(spreadMs * randomUnit(random)));
    const time_point end = now + duration + spread;
    m_recordedAt = now;
    m_trialEndsAt.reset();
    if (m_pauseEndsAt && end <= *m_pauseEndsAt) {
        return false;
    }
    m_pauseEndsAt = end;
    return true;
}

void request_pause::recordResponse()
{
    if (m_trialEndsAt) {
        m_pauseEndsAt.reset();
        m_trialEndsAt.reset();
    }
}

void request_pause::recordFailure()
{
    m_trialEndsAt.reset();
}

bool request_pause::tryStartRequest(time_point now)
{
    if (endsAt(now)) {
        return false;
    }
    if (m_trialEndsAt) {
        m_pauseEndsAt.reset();
        m_trialEndsAt.reset();
    } else if (m_pauseEndsAt) {
        m_trialEndsAt = now + trialTimeout;
    }
    return true;
}

std::optional<time_point> request_pause::endsAt(time_point now) const
{
    const std::optional<time_point> &end = m_trialEndsAt ? m_trialEndsAt : m_pauseEndsAt;
    return end && now < *end ? end : std::nullopt;
}

void request_pause::endIfRecordedBefore(time_point time)
{
    if (m_recordedAt < time) {
        m_pauseEndsAt.reset();
        m_trialEndsAt.reset();
    }
}

}
