/**
 * @file
 * The operator's settings for requests that leave the availability zone.
 */
#pragma once

namespace cardamomdeck {

/** Whether and at what cost requests leave their zone. */
struct overflow_settings
{
    /**
     * Latency in milliseconds that one megabyte across zones is worth. With the default, a response of 90 KB costs
     * 36 ms, as much as the fixed cost for an objective of 300 ms, and one of 1.5 KB costs 0.6 ms, which callers do not
     * notice.
     */
    static constexpr double defaultCostPerMbMs = 400.0;

    bool enabled = false;
    double crossZoneCostPerMbMs = defaultCostPerMbMs;

    bool operator==(const overflow_settings &) const = default;
};

}
