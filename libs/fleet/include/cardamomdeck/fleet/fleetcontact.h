/**
 * @file
 * How well an entry knows the fleet, for limits that hold for the sum of all entries.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/fleetstate.h"

#include <cstddef>

namespace cardamomdeck {

/** Contact of an entry with the store and its peers at one point in time. */
struct fleet_contact
{
    /** The view is not older than fleet_state::storeOutageThreshold, and was confirmed after the last pause. */
    bool confirmed = false;
    /** End of the last pause of the process. */
    time_point resumedAt;
    /** See fleet_size_estimate. */
    std::size_t knownEntries = 1;

    bool operator==(const fleet_contact &) const = default;
};

/** The contact of the entry with @p state at @p now. */
fleet_contact contactOf(const fleet_state &state, time_point now);

}
