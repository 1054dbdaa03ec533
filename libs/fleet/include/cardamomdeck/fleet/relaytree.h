/**
 * @file
 * Splits the members of a large fleet into groups, so that view updates are relayed in a tree instead of being sent
 * by one entry to all.
 */
#pragma once

#include "cardamomdeck/fleet/membertable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Fan-out: number of entries that one entry relays an update to; four levels reach a zone of about 300 entries. */
inline constexpr std::size_t relayFanout = 4;

/** Addresses of entries; one of them, usually the first, receives an update and relays it to the others. */
using relay_group = std::vector<std::string>;

/** Splits @p hosts into up to relayFanout groups of nearly equal size. */
std::vector<relay_group> splitEvenly(const std::vector<std::string> &hosts);

/**
 * Groups of @p members without @p self: one for each other availability zone, so that an update crosses to it only
 * once, and up to relayFanout for the entry's own zone.
 */
std::vector<relay_group> relayGroups(const std::vector<fleet_member> &members, const fleet_member &self);

}
