/**
 * @file
 * How often a backend server has failed lately, as seen by one entry.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

namespace cardamomdeck {

/**
 * Share of failures among recent requests, which fades with time so that a
 * recovered server is tried again. There is no hard ejection: a failing server
 * becomes dearer than its neighbours, and is still used when it is the only one.
 */
class backend_health
{
public:
    /** Notes a request that the server answered properly. */
    void recordSuccess(time_point now);

    /** Notes a request that failed at the server. */
    void recordFailure(time_point now);

    /** Probability that a request fails, in [0, 1]. */
    double failureRate(time_point now) const;

    /** True while failures are so frequent that other servers come first. */
    bool isSuspect(time_point now) const;

private:
    void decay(time_point now);

    double m_successes = 0;
    double m_failures = 0;
    time_point m_updated;
};

}
