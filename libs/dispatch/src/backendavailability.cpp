#include "cardamomdeck/dispatch/backendavailability.h"

#include <iterator>

namespace cardamomdeck {

backend_availability::backend_availability()
    : m_pause(std::make_shared<request_pause>())
{
}

backend_availability_ptr backend_availability::startNextIncarnation(time_point earliestStart)
{
    const auto next = std::make_shared<backend_availability>();
    next->m_pause = m_pause;
    next->m_pause->endIfRecordedBefore(earliestStart);
    next->m_lastLeavingAt = m_lastLeavingAt;
    next->m_needsProbe = m_lastLeavingAt >= earliestStart;
    m_nextIncarnation = next;
    return next;
}

bool backend_availability::recordLeaving(time_point now)
{
    const bool isKnown = m_leavingSince.has_value();
    m_leavingSince = m_leavingSince.value_or(now);
    m_lastLeavingAt = now;
    if (const backend_availability_ptr next = m_nextIncarnation.lock()) {
        next->m_needsProbe = true;
    }
    return !isKnown;
}

bool backend_availability::recordPause(time_point now, milliseconds duration, random_source &random)
{
    return m_pause->record(now, duration, random);
}

void backend_availability::recordResponse()
{
    m_pause->recordResponse();
}

void backend_availability::recordFailure()
{
    m_pause->recordFailure();
}

void backend_availability::recordProbe()
{
    m_needsProbe = false;
}

bool backend_availability::isAvailable(time_point now) const
{
    return !m_needsProbe && isProbeAllowed(now);
}

bool backend_availability::isProbeAllowed(time_point now) const
{
    return !m_leavingSince && !pausedUntil(now);
}

bool backend_availability::needsProbe() const
{
    return m_needsProbe && !m_leavingSince;
}

bool backend_availability::tryStartRequest(time_point now)
{
    return isAvailable(now) && m_pause->tryStartRequest(now);
}

std::optional<time_point> backend_availability::leavingSince() const
{
    return m_leavingSince;
}

std::optional<time_point> backend_availability::pausedUntil(time_point now) const
{
    return m_pause->endsAt(now);
}

backend_availability_ptr
backend_availability_table::find(const std::string &id, std::int64_t startUnixMs, time_point earliestStart)
{
    incarnation &known = m_incarnations[id];
    if (!known.state) {
        known = {startUnixMs, std::make_shared<backend_availability>(), std::nullopt};
    } else if (startUnixMs > known.startUnixMs) {
        known = {startUnixMs, known.state->startNextIncarnation(earliestStart), std::nullopt};
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
        const bool hasEffect = !known.state->isAvailable(now);
        const bool isUnused = !hasEffect || now >= *known.removeAt;
        position = isUnused ? m_incarnations.erase(position) : std::next(position);
    }
}

std::size_t backend_availability_table::size() const
{
    return m_incarnations.size();
}

}
