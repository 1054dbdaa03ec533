/**
 * @file
 * Position of a record in a topic of the store.
 */
#pragma once

#include "cardamomdeck/fleet/backendserver.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>

namespace cardamomdeck {

/**
 * Number of a history of the store. It rises each time the store is restored from an older copy, which loses records
 * that entries have read, and gives their offsets to others. None if the store or a peer does not tell it, which is
 * lower than each value.
 */
using store_era = std::optional<std::uint64_t>;

/** Largest era; greater values are invalid. */
inline constexpr std::uint64_t maxStoreEra = std::numeric_limits<std::int64_t>::max();

/** Orders the records of a topic: by era, and by offset within one era. */
struct topic_position
{
    store_era era;
    store_offset offset = 0;

    topic_position() = default;

    /** The position @p recordOffset in a store that does not tell its era. */
    topic_position(store_offset recordOffset)
        : offset(recordOffset)
    {
    }

    topic_position(store_era recordEra, store_offset recordOffset)
        : era(recordEra)
        , offset(recordOffset)
    {
    }

    auto operator<=>(const topic_position &) const = default;
};

/** The position after @p position, or the start of the topic. */
inline topic_position positionAfter(const std::optional<topic_position> &position)
{
    return position ? topic_position(position->era, position->offset + 1) : topic_position();
}

/** Position of the last record before @p end, or of the start of the topic if it is empty. */
inline topic_position lastBefore(const topic_position &end)
{
    return {end.era, end.offset > 0 ? end.offset - 1 : 0};
}

}
