/**
 * @file
 * Keeps the probes of all entries together within the budget of a back end.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>

namespace cardamomdeck {

/**
 * One entry's share of the probe budget of one back end. At most
 * "ceiling" entries are entitled to probe at any time, and each keeps a
 * minimum gap between its probes, so that no half-open window of ten seconds
 * holds more than the budget. Nothing is saved up: a restart or a pause gives
 * no burst.
 */
class probe_budget
{
public:
    /** Not entitled until entitle() is called. */
    probe_budget() = default;

    /**
     * Grants a share of @p probesPerTenSeconds among @p ceiling entries; the
     * first probe may be sent at @p notBefore. Repeated calls keep the gap to
     * the last probe.
     */
    void grantShare(std::uint32_t probesPerTenSeconds, std::uint32_t ceiling, time_point notBefore);

    /** Withdraws the share. */
    void revoke();

    /** True, and counted as a probe sent at @p now, when the budget allows one. */
    bool tryAcquire(time_point now);

private:
    bool m_hasShare = false;
    nanoseconds m_minInterval{0};
    time_point m_nextProbeAt;
};

}
