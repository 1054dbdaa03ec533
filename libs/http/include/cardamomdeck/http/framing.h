/**
 * @file
 * Messages with a length before them on a TCP stream.
 */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Writes @p body and adds what was sent to @p bytes; false when the connection failed. */
boost::asio::awaitable<bool>
writeFrame(boost::beast::tcp_stream &stream, const std::string &body, std::uint64_t &bytes);

/** Reads a body of at most @p largest bytes; nothing when the connection failed or the frame is too large. */
boost::asio::awaitable<std::optional<std::string>>
readFrame(boost::beast::tcp_stream &stream, std::size_t largest, std::uint64_t &bytes);

}
