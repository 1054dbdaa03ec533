/**
 * @file
 * The size of the fleet for limits that hold for the sum of all entries.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <array>
#include <cstddef>

namespace cardamomdeck {

/**
 * The largest number of entries that were known in the last minute. An entry that is cut off, or that has just started,
 * knows fewer entries than there are; a share that it takes of a fleet-wide limit must not grow meanwhile.
 */
class fleet_size_estimate
{
public:
    /** Time after which a larger number is forgotten. */
    static constexpr milliseconds retentionTime{60'000};

    /** Records that @p entries entries are known, this one included. */
    void record(std::size_t entries, time_point now);

    /** The estimate; at least 1. */
    std::size_t entries(time_point now) const;

private:
    /** The maximum is kept for parts of the retention time, so that no list of all numbers is necessary. */
    static constexpr std::size_t partCount = 6;

    struct part
    {
        std::size_t maximum = 0;
        time_point endsAt;
    };

    std::array<part, partCount> m_parts;
    std::size_t m_current = 0;
};

}
