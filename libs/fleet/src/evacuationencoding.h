/**
 * @file
 * Encoding of evacuations in the messages between entries.
 */
#pragma once

#include "cardamomdeck/fleet/evacuationtable.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <vector>

namespace cardamomdeck {

/** Appends @p records as the last field of the message @p fields; an empty table adds no field. */
void appendEvacuations(nlohmann::json &fields, const std::vector<evacuation_record> &records);

/**
 * The evacuations in field @p index of a message, none if the message ends before it. Throws if there are too many of
 * them or one is invalid.
 */
std::vector<evacuation_record> evacuationsFromJson(const nlohmann::json &fields, std::size_t index);

}
