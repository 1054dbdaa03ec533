/**
 * @file
 * Takes the memory of a body that is being read from a budget.
 */
#pragma once

#include "cardamomdeck/base/bytebudget.h"

#include <cstddef>

namespace cardamomdeck {

/** Bytes of a body of unknown size that memory is taken for ahead of each read. */
inline constexpr std::size_t bodyReservationStepBytes = 16U * 1024U;

/** A lease of @p budget, whose large messages may draw up to @p part of it, or one without a bound when it is null. */
inline byte_budget::reservation openReservation(byte_budget *budget, double part = byte_budget::largeMessageShare)
{
    return budget != nullptr ? budget->makeReservation(part) : byte_budget::reservation();
}

/** Takes memory for the next part of the body that @p parser reads, or at once for one of known size; false without. */
template<typename body_parser>
bool reserveBodyMemory(const body_parser &parser, byte_budget::reservation &memory)
{
    const std::size_t announced = parser.content_length().value_or(0);
    return memory.growTo(announced > 0 ? announced : parser.get().body().size() + bodyReservationStepBytes);
}

}
