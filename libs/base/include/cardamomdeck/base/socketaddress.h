/**
 * @file
 * IP address with a port, in the text form of settings and resources.
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

/** Formats @p address as "host:port". */
std::string toString(const socket_address &address);

/** Parses "host:port"; returns nothing if the host is not an IP address or the port is not in 1..65535. */
std::optional<socket_address> parseSocketAddress(std::string_view text);

/** Parses a comma-separated list; returns nothing if any element is invalid. An empty text is an empty list. */
std::optional<std::vector<socket_address>> parseSocketAddressList(std::string_view text);

}
