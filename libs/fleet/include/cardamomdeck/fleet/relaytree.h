/**
 * @file
 * Splits the members of a large fleet, so that news are handed on in a tree instead of being sent by one entry to all.
 */
#pragma once

#include "cardamomdeck/fleet/membertable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Entries that one entry hands news on to; four levels reach a zone of some 300. */
inline constexpr std::size_t relayFanout = 4;

/** Addresses of entries that one of them, mostly the first, hands news on to. */
using relay_group = std::vector<std::string>;

/** Splits @p hosts into up to relayFanout groups of even size. */
std::vector<relay_group> splitEvenly(const std::vector<std::string> &hosts);

/**
 * Groups of @p members without @p self: one for each other availability zone,
 * so that news cross to it once, and several for the own one.
 */
std::vector<relay_group> relayGroups(const std::vector<fleet_member> &members, const fleet_member &self);

}
