/**
 * @file
 * The random source that is passed into decision classes.
 */
#pragma once

#include <cstddef>
#include <random>

namespace cardamomdeck {

/** Seeded generator; replays use a pinned seed. */
using random_source = std::mt19937_64;

/** A uniform index in [0, size). @p size must not be zero. */
inline std::size_t randomIndex(random_source &random, std::size_t size)
{
    return static_cast<std::size_t>(random() % size);
}

/** A uniform value in [0, 1). */
inline double randomUnit(random_source &random)
{
    constexpr double unitScale = 1.0 / 9007199254740992.0;
    return static_cast<double>(random() >> 11U) * unitScale;
}

}
