/**
 * @file
 * Checks the nesting of a MessagePack message before it is decoded.
 */
#pragma once

#include <string_view>

namespace cardamomdeck {

/**
 * Returns whether @p bytes are a MessagePack message without objects, whose arrays are nested at most @p maxDepth deep.
 * The decoder of nlohmann::json is recursive, so a message that is nested too deeply would exhaust its stack.
 */
bool isNestedAtMost(std::string_view bytes, int maxDepth);

}
