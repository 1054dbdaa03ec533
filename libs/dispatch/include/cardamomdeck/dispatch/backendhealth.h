/**
 * @file
 * Failure rate of a backend server over recent requests, as seen by one entry.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

namespace cardamomdeck {

/**
 * Failure rate over recent requests with exponential decay, so that a recovered
 * server is tried again. Servers are not ejected: a failing server gets a higher
 * cost than the others, and is still used if it is the only one.
 */
class backend_health
{
public:
    /** Records a request with a valid response. */
    void recordSuccess(time_point now);

    /** Records a request that failed at the server. */
    void recordFailure(time_point now);

    /** Estimated probability that a request fails, in [0, 1]. */
    double failureRate(time_point now) const;

    /** Returns true while the failure rate is so high that other servers are preferred. */
    bool isSuspect(time_point now) const;

private:
    void decay(time_point now);

    double m_successes = 0;
    double m_failures = 0;
    time_point m_updated;
};

}
