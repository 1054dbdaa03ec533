#include "cardamomdeck/dispatch/backendavailability.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace cardamomdeck {

namespace {

/** Maximum random delay of the end of a pause, as a share of the pause and in absolute terms. */
constexpr double pauseSpreadShare = 0.2;
constexpr milliseconds maxPauseSpread{500};

}

bool backend_availability::recordLeaving(time_point now)
{
    if (m_leavingSince) {
        return false;
    }
    m_leavingSince = now;
    return true;
}

bool backend_availability::recordPause(time_point now, milliseconds duration, random_source &random)
{
    const double spreadMs = std::min(pauseSpreadShare * toMilliseconds(duration), toMilliseconds(maxPauseSpread));
    const auto spread
        = std::chrono::round<microseconds>(std::chrono::duration<double, std::milli>(spreadMs * randomUnit(random)));
    const time_point end = now + duration + spread;
    m_trialEndsAt.reset();
    if (m_pauseEndsAt && end <= *m_pauseEndsAt) {
        return false;
    }
    m_pauseEndsAt = end;
    return true;
}

void backend_availability::recordResponse()
{
    if (m_trialEndsAt) {
        m_pauseEndsAt.reset();
        m_trialEndsAt.reset();
    }
}

void backend_availability::recordFailure()
{
    m_trialEndsAt.reset();
}

bool backend_availability::isAvailable(time_point now) const
{
    return !m_leavingSince && !pausedUntil(now);
}

bool backend_availability::tryStartRequest(time_point now)
{
    if (!isAvailable(now)) {
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

std::optional<time_point> backend_availability::leavingSince() const
{
    return m_leavingSince;
}

std::optional<time_point> backend_availability::pausedUntil(time_point now) const
{
    const std::optional<time_point> &end = m_trialEndsAt ? m_trialEndsAt : m_pauseEndsAt;
    return end && now < *end ? end : std::nullopt;
}

backend_availability_ptr backend_availability_table::find(const std::string &id, std::int64_t startUnixMs)
{
    incarnation &known = m_incarnations[id];
    if (!known.state || startUnixMs > known.startUnixMs) {
        known = {startUnixMs, std::make_shared<backend_availability>(), std::nullopt};
    }
    return known.state;
}

void backend_availability_table::removeUnused(time_point now)
{
    for (auto position = m_incarnations.begin(); position != m_incarnations.end();) {
        incarnation &known = position->second;
        if (known.state.use_count() > 1) {
            known.removeAt.reset();
            ++position;
            continue;
        }
        if (!known.removeAt) {
            known.removeAt = now + retentionTime;
        }
        const bool hasEffect = known.state->leavingSince() || known.state->pausedUntil(now);
        const bool isUnused = !hasEffect || now >= *known.removeAt;
        position = isUnused ? m_incarnations.erase(position) : std::next(position);
    }
}

std::size_t backend_availability_table::size() const
{
    return m_incarnations.size();
}

}
