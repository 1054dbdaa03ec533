/**
 * @file
 * Everything that the request path needs to know of the fleet, as one immutable value.
 */
#pragma once

#include "cardamomdeck/fleet/backendserver.h"
#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/trafficconfig.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Configuration, backend servers and members at one moment. */
struct fleet_view
{
    /** Never null; version 0 before a configuration is known. */
    traffic_config_ptr config = std::make_shared<traffic_config>();
    /** Backend servers that may receive work; never null, and another object when one of them has changed. */
    backends_by_service_ptr backends = std::make_shared<backends_by_service>();
    /** This entry knows rules and backend servers, and is not leaving. */
    bool ready = false;
    /** Entries that callers may use. */
    std::vector<fleet_member> readyMembers;
    /** Live entries, this one included; shares of fleet-wide budgets are divided by it. */
    std::size_t liveMembers = 1;

    bool operator==(const fleet_view &) const = default;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

}
