/**
 * @file
 * Length-prefixed messages on a TCP stream.
 */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Writes @p body as one frame and adds the number of sent bytes to @p byteCount; false if the connection failed. */
boost::asio::awaitable<bool>
writeFrame(boost::beast::tcp_stream &stream, const std::string &body, std::uint64_t &byteCount);

/**
 * Reads a frame with a body of at most @p maxBodyBytes. Returns nothing if the connection failed or the frame is too
 * large. Adds the received bytes to @p byteCount, but not the length prefix of a frame that is too large.
 */
boost::asio::awaitable<std::optional<std::string>>
readFrame(boost::beast::tcp_stream &stream, std::size_t maxBodyBytes, std::uint64_t &byteCount);

}
