#include "cardamomdeck/http/framing.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/base/resultcode.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

using frame_length = std::uint32_t;

}

asio::awaitable<bool> writeFrame(beast::tcp_stream &stream, const std::string &body, std::uint64_t &byteCount)
{
    const frame_length length = boost::endian::native_to_big(static_cast<frame_length>(body.size()));
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(&length, sizeof length), asio::buffer(body)};
    const auto [error, size] = co_await asio::async_write(stream, buffers, asTuple);
    byteCount += size;
    co_return !error;
}

asio::awaitable<std::optional<std::string>>
readFrame(beast::tcp_stream &stream, std::size_t maxBodyBytes, std::uint64_t &byteCount)
{
    frame_length length = 0;
    const auto [lengthError, lengthSize]
        = co_await asio::async_read(stream, asio::buffer(&length, sizeof length), asTuple);
    if (lengthError) {
        co_return std::nullopt;
    }
    boost::endian::big_to_native_inplace(length);
    if (length > maxBodyBytes) {
        log_line("peer_frame_rejected")
            .add("code", infoOf(result_code::frame_too_large).name)
            .add("bytes", length)
            .warn();
        co_return std::nullopt;
    }
    std::string body(length, '\0');
    const auto [bodyError, bodySize] = co_await asio::async_read(stream, asio::buffer(body), asTuple);
    byteCount += lengthSize + bodySize;
    if (bodyError) {
        co_return std::nullopt;
    }
    co_return body;
}

}
