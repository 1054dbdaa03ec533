#include "cardamomdeck/dispatch/backendhealth.h"

#include <cmath>

namespace cardamomdeck {

namespace {

/** Half-life of the weight of a request, in milliseconds; failures of a server typically last a few seconds. */
constexpr double halfLifeMs = 3000.0;

/** Number of successes that every server starts with, as a prior for the failure rate. */
constexpr double priorSuccesses = 2.0;

/** Failure rate from which a server is suspect. A single failure does not reach it, even with few requests. */
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
