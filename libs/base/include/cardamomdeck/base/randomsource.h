/**
 * @file
 * Random number generator that is passed to decision classes.
 */
#pragma once

#include <cstddef>
#include <random>

namespace cardamomdeck {

/** Seeded generator; replays use a fixed seed. */
using random_source = std::mt19937_64;

/** Returns a uniformly distributed index in [0, size). @p size must not be zero. */
inline std::size_t randomIndex(random_source &random, std::size_t size)
{
    return static_cast<std::size_t>(random() % size);
}

/** Returns a uniformly distributed value in [0, 1). */
inline double randomUnit(random_source &random)
{
    constexpr double unitScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(random() >> 11U) * unitScale;
}

}
