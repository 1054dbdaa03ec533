/**
 * @file
 * Text compression. Each text is one zstd frame that contains the size and a checksum of the text.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamomdeck {

/**
 * Compresses @p text. With a @p base, which the receiver must have too, the result is a delta: parts that are equal in
 * both texts take only a few bytes, so a small change of a large text becomes a small message.
 */
std::string compress(std::string_view text, std::string_view base = {});

/**
 * Reverses compress(). The size is checked before memory is allocated for the text. Errors: frame_too_large if the text
 * has more than @p maxBytes bytes, frame_malformed for damaged bytes or a different base.
 */
boost::leaf::result<std::string>
decompress(std::string_view compressed, std::size_t maxBytes, std::string_view base = {});

}
