/**
 * @file
 * Keeps the probes of all entries together below what a service's backend servers accept.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>

namespace cardamomdeck {

/**
 * One entry's share of the probes of one service. Under load fewer servers are
 * probed for each request, instead of probing some requests not at all.
 */
class probe_rate_limiter
{
public:
    /** Allows @p perBackend probes a second to each backend server, from all entries together. */
    explicit probe_rate_limiter(double perBackend);

    /** Takes up to @p wanted probes at @p now; the share is that of one of @p entries entries. */
    std::size_t acquireUpTo(std::size_t wanted, std::size_t backends, std::size_t entries, time_point now);

private:
    double m_probesPerSecondPerBackend;
    double m_tokens = 0;
    time_point m_updated;
};

}
