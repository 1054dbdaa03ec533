#include "cardamomdeck/dispatch/backendhealth.h"

#include <cmath>

namespace cardamomdeck {

namespace {

/** Time in milliseconds in which old requests lose half of their weight; troubles last for some seconds. */
constexpr double halfLifeMs = 3000.0;

/** Weight of the assumption that a server works, in requests. */
constexpr double priorSuccesses = 2.0;

/** Share of failures from which other servers come first; one failure among few requests does not reach it. */
constexpr double suspectFailureRate = 0.25;

double decayFactor(time_point from, time_point to)
{
    return std::exp2(-toMilliseconds(to - from) / halfLifeMs);
}

}

void backend_health::decay(time_point now)
{
    const double factor = decayFactor(m_updated, now);
    m_successes *= factor;
    m_failures *= factor;
    m_updated = now;
}

void backend_health::recordSuccess(time_point now)
{
    decay(now);
    m_successes += 1.0;
}

void backend_health::recordFailure(time_point now)
{
    decay(now);
    m_failures += 1.0;
}

double backend_health::failureRate(time_point now) const
{
    const double factor = decayFactor(m_updated, now);
    const double failures = m_failures * factor;
    return failures / (failures + m_successes * factor + priorSuccesses);
}

bool backend_health::isSuspect(time_point now) const
{
    return failureRate(now) >= suspectFailureRate;
}

}
