/**
 * @file
 * Chooses the entries that a caller is told to use.
 */
#pragma once

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/fleet/membertable.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Region of each availability zone. */
using zone_regions = std::map<std::string, std::string>;

/** Where a caller is. */
struct caller_place
{
    std::string zone;
    std::string region;

    bool operator==(const caller_place &) const = default;
};

/**
 * Up to @p most of the entries @p ready for a caller at @p place: those of its
 * zone; when too few of them are left for the callers of a zone, those of its
 * region; and else all. A random selection where there are more, so that all
 * get callers.
 */
std::vector<fleet_member> chooseEntries(const std::vector<fleet_member> &ready,
                                        const zone_regions &regions,
                                        const caller_place &place,
                                        std::size_t most,
                                        random_source &random);

}
