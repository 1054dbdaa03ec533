/**
 * @file
 * Limits the probes of all entries together to the probe budget of a backend server.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>

namespace cardamomdeck {

/**
 * One entry's share of the probe budget of one backend server. At most
 * "ceiling" entries have a share at any time, and each keeps a minimum interval
 * between its probes, so that no half-open window of ten seconds contains more
 * probes than the budget. Unused probes do not accumulate, so there is no burst
 * after a restart or a pause.
 */
class probe_budget
{
public:
    /** Creates a budget without a share; see grantShare(). */
    probe_budget() = default;

    /**
     * Grants this entry its share of @p probesPerTenSeconds, which at most
     * @p ceiling entries divide among themselves. The first probe may be sent at
     * @p notBefore. Repeated calls keep the minimum interval to the last probe.
     */
    void grantShare(std::uint32_t probesPerTenSeconds, std::uint32_t ceiling, time_point notBefore);

    /** Revokes the share. */
    void revoke();

    /** Acquires one probe at @p now if the budget allows it; returns whether it does. */
    bool tryAcquire(time_point now);

private:
    bool m_hasShare = false;
    nanoseconds m_minInterval{0};
    time_point m_nextProbeAt;
};

}
