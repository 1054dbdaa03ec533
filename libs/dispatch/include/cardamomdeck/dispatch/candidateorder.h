/**
 * @file
 * Orders the backend servers of a group for probing, with a subset of preferred servers for each entry.
 */
#pragma once

#include "cardamomdeck/base/randomsource.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Sort criteria of one backend server. */
struct candidate_rank
{
    /** Result of rendezvousScore(). */
    std::size_t score = 0;
    /** Whether the server's recent failure rate is high, see backend_health::isSuspect(). */
    bool suspect = false;

    bool operator==(const candidate_rank &) const = default;
};

/** Number of servers of a group that an entry prefers; limits its connections in a large fleet. */
inline constexpr std::size_t backendSubsetSize = 8;

/** Rendezvous hashing score of @p backend for @p entry; lower scores come first, and differ between entries. */
std::size_t rendezvousScore(std::string_view entry, std::string_view backend);

/**
 * Returns the indices of @p candidates in probing order: first the
 * backendSubsetSize servers with the lowest scores in random order, then the
 * others in random order. Suspect servers come last.
 */
std::vector<std::size_t> orderCandidates(std::span<const candidate_rank> candidates, random_source &random);

}
