/**
 * @file
 * Immutable snapshot of the fleet for the request path.
 */
#pragma once

#include "cardamomdeck/fleet/backendserver.h"
#include "cardamomdeck/fleet/evacuationtable.h"
#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/trafficconfig.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Configuration, backend servers and members at one point in time. */
struct fleet_view
{
    /** Never null; version 0 before a configuration is installed. */
    traffic_config_ptr config = std::make_shared<traffic_config>();
    /** Backend servers that may receive requests; never null. A change of a server replaces the object. */
    backends_by_service_ptr backends = std::make_shared<backends_by_service>();
    /** Availability zones whose servers get no requests; never null. A change of a zone replaces the object. */
    zone_set_ptr evacuatedZones = std::make_shared<const zone_set>();
    /** This entry has rules and backend servers and is not shutting down. */
    bool ready = false;
    /** Entries that callers may use. */
    std::vector<fleet_member> readyMembers;
    /** Live entries, this one included; shares of fleet-wide budgets are divided by it. */
    std::size_t liveMembers = 1;

    bool operator==(const fleet_view &) const = default;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

}
