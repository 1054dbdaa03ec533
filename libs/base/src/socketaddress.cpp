#include "cardamomdeck/base/socketaddress.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace cardamomdeck {

std::string toString(const socket_address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    socket_address parsed;
    parsed.host = text.substr(0, colon);
    boost::system::error_code error;
    boost::asio::ip::make_address(parsed.host, error);
    if (error) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    const char *const end = portText.data() + portText.size();
    const auto [rest, status] = std::from_chars(portText.data(), end, parsed.port);
    if (status != std::errc() || rest != end || parsed.port == 0) {
        return std::nullopt;
    }
    return parsed;
}

std::optional<std::vector<socket_address>> parseSocketAddressList(std::string_view text)
{
    std::vector<socket_address> list;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto parsed = parseSocketAddress(text.substr(0, comma));
        if (!parsed) {
            return std::nullopt;
        }
        list.push_back(*parsed);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return list;
}

}
