/**
 * @file
 * Compressed texts: one zstd frame each, with the size and a checksum of the text.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamomdeck {

/**
 * Compresses @p text. With a @p base, which the receiver must have too, parts that both share cost some bytes only; a
 * small change of a large text becomes a small message.
 */
std::string compress(std::string_view text, std::string_view base = {});

/**
 * Reverses compress(). The size is checked before memory is taken for it. Errors: frame_too_large when the text has
 * more than @p largest bytes, frame_malformed for damaged bytes or another base.
 */
boost::leaf::result<std::string> decompress(std::string_view bytes, std::size_t largest, std::string_view base = {});

}
