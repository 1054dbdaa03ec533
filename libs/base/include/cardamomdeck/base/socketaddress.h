/**
 * @file
 * An IP address with a port, as it stands in settings and resources.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** IPv4 or IPv6 address with a TCP port. */
struct socket_address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const socket_address &) const = default;
};

/** "host:port". */
std::string toString(const socket_address &address);

/** Reads "host:port"; nothing when the host is not an IP number or the port not in 1..65535. */
std::optional<socket_address> parseSocketAddress(std::string_view text);

/** Reads a comma-separated list; nothing when any element is wrong. An empty text is an empty list. */
std::optional<std::vector<socket_address>> parseSocketAddressList(std::string_view text);

}
