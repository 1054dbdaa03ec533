/**
 * @file
 * Answers the caller's question which entry addresses to use.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/configlog/configchange.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** How long a caller may use an answer. */
inline constexpr milliseconds entrySelectionLifetime{3000};

/** Addresses in the answer to one caller. */
inline constexpr std::size_t maxSelectedEntries = 4;

/**
 * The entries that the caller identified by @p caller should use, best first.
 * Rendezvous hashing spreads callers evenly and moves few of them when the
 * members change; the first addresses lie in different zones, so that a lost
 * zone leaves each caller an address. Entries in @p unusable are left out,
 * unless none would remain.
 */
std::vector<entry_member> selectEntries(const std::map<std::string, entry_member> &members,
                                        const std::set<std::string> &unusable,
                                        const std::string &caller);

}
