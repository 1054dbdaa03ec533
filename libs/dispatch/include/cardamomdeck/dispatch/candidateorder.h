/**
 * @file
 * Decides which backend servers of a group an entry asks first.
 */
#pragma once

#include "cardamomdeck/base/randomsource.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** What the order of a server depends on. */
struct candidate_rank
{
    /** From preferenceOf(). */
    std::size_t score = 0;
    /** It has failed often lately. */
    bool suspect = false;

    bool operator==(const candidate_rank &) const = default;
};

/** Servers of a group that an entry prefers, so that it holds few connections in a large fleet. */
inline constexpr std::size_t backendSubsetSize = 8;

/** How much entry @p entry prefers server @p backend; lower values come first, and entries differ. */
std::size_t rendezvousScore(std::string_view entry, std::string_view backend);

/**
 * Indices of @p candidates in the order in which they should be asked: the
 * preferred ones in random order, then the others in random order, and those
 * that fail often last.
 */
std::vector<std::size_t> orderCandidates(std::span<const candidate_rank> candidates, random_source &random);

}
