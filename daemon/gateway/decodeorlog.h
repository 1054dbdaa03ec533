/**
 * @file
 * Decodes messages of others, and logs those that cannot be decoded.
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
 * The value that @p decode returns, or nothing and a log line @p event that
 * names the message by @p key when it returns an error.
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
