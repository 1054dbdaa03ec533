/**
 * @file
 * Position of a record in a topic of the store.
 */
#pragma once

#include "cardamomdeck/fleet/backendserver.h"

#include <compare>
#include <cstdint>

namespace cardamomdeck {

/**
 * Orders the records of a topic. Offsets start again below earlier ones when the store is restored from an older copy,
 * which begins a new era.
 */
struct topic_position
{
    /** Always 0 until restored stores are supported. */
    std::uint64_t era = 0;
    store_offset offset = 0;

    auto operator<=>(const topic_position &) const = default;
};

}
