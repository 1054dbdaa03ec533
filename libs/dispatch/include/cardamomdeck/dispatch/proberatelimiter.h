/**
 * @file
 * Limits the probes that all entries together send to the backend servers of a service.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>

namespace cardamomdeck {

/**
 * Token bucket for one entry's share of the probes of one service. Under load,
 * fewer servers are probed for each request, rather than many for some requests
 * and none for the others.
 */
class probe_rate_limiter
{
public:
    /** Allows @p probesPerSecondPerBackend probes to each backend server per second, from all entries together. */
    explicit probe_rate_limiter(double probesPerSecondPerBackend);

    /**
     * Acquires up to @p probeCount probes at @p now, and returns their number. The rate
     * is that of one of @p entries entries, for @p backends backend servers.
     */
    std::size_t acquireUpTo(std::size_t probeCount, std::size_t backends, std::size_t entries, time_point now);

private:
    double m_probesPerSecondPerBackend;
    double m_tokens = 0;
    time_point m_updated;
};

}
