/**
 * @file
 * Reserves memory from a budget for bodies while they are read.
 */
#pragma once

#include "cardamomdeck/base/bytebudget.h"

#include <cstddef>

namespace cardamomdeck {

/** Bytes reserved ahead of each read of a body of unknown size. */
inline constexpr std::size_t bodyReservationStepBytes = 16U * 1024U;

/**
 * Creates an empty reservation of @p budget; a large message may grow until @p largeShare of the budget is in use.
 * Without a budget the reservation is unlimited.
 */
inline byte_budget::reservation openReservation(byte_budget *budget, double largeShare = byte_budget::largeMessageShare)
{
    return budget != nullptr ? budget->makeReservation(largeShare) : byte_budget::reservation();
}

/**
 * Reserves memory for the next read of the body of @p parser, or for the whole body if its size is known. Returns false
 * if the budget is exhausted.
 */
template<typename body_parser>
bool reserveBodyMemory(const body_parser &parser, byte_budget::reservation &memory)
{
    const std::size_t contentLength = parser.content_length().value_or(0);
    return memory.growTo(contentLength > 0 ? contentLength : parser.get().body().size() + bodyReservationStepBytes);
}

}
