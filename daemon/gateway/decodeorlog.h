/**
 * @file
 * Decodes messages from other processes, and logs those that cannot be decoded.
 */
#pragma once

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace cardamomdeck {

/**
 * Returns the value that @p decode returns. When it returns a failure, logs
 * @p event with the failure and @p key, which identifies the message, and
 * returns nothing.
 */
template<typename decoder>
auto decodeOrLog(std::string_view event, std::string_view key, decoder decode)
    -> std::optional<std::decay_t<decltype(*decode())>>
{
    namespace leaf = boost::leaf;
    using value = std::decay_t<decltype(*decode())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value>> {
            BOOST_LEAF_AUTO(decoded, decode());
            return std::optional<value>(std::move(decoded));
        },
        [&](const failure &error) {
            log_line(event).add("code", infoOf(error.code).name).add("key", key).add("detail", error.detail).warn();
            return std::optional<value>();
        },
        [] { return std::optional<value>(); });
}

}
