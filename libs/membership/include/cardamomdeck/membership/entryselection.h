/**
 * @file
 * Selects the entries whose addresses are returned to a caller.
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

/** Lifetime (TTL) of the addresses returned to a caller. */
inline constexpr milliseconds entrySelectionLifetime{3000};

/** Maximum number of entries returned to a caller. */
inline constexpr std::size_t maxSelectedEntries = 4;

/**
 * Returns the entries that the caller @p caller should use, in order of
 * preference. Rendezvous hashing distributes callers evenly and reassigns few
 * of them when the membership changes. The first entries are in different
 * availability zones, so that a caller still has an entry when a zone fails.
 * Entries in @p unusable are left out, unless no other entry remains.
 */
std::vector<entry_member> selectEntries(const std::map<std::string, entry_member> &members,
                                        const std::set<std::string> &unusable,
                                        const std::string &caller);

}
