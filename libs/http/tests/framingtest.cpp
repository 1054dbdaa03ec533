#include "cardamomdeck/http/framing.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace cardamomdeck;
namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxBodyBytes = 64;

/** How the peer ends its connection after its bytes. */
enum class connection_end {
    regular,
    reset,
};

/** Returns the frame that is read from a peer that sends @p bytes and then ends its connection. */
std::optional<std::string> readFrom(const std::string &bytes, connection_end end)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::optional<std::string> frame;
    startTask(context, "peer", [&]() -> asio::awaitable<void> {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        if (end == connection_end::reset) {
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        socket.close();
    });
    startTask(context, "reader", [&]() -> asio::awaitable<void> {
        beast::tcp_stream stream(context);
        stream.expires_after(std::chrono::seconds(5));
        const tcp::endpoint endpoint = acceptor.local_endpoint();
        co_await stream.async_connect(endpoint, asTuple);
        std::uint64_t byteCount = 0;
        frame = co_await readFrame(stream, maxBodyBytes, byteCount);
    });
    context.run();
    return frame;
}

}

TestSuite(peer_frames);

Test(peer_frames, whole_frame_is_read)
{
    cr_assert_eq(readFrom(std::string("\0\0\0\5frame", 9), connection_end::regular), "frame");
    cr_assert_eq(readFrom(std::string(4, '\0'), connection_end::regular), "");
}

Test(peer_frames, truncated_frame_is_rejected_at_each_byte)
{
    const std::string whole("\0\0\0\5frame", 9);
    for (const connection_end end : {connection_end::regular, connection_end::reset}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            cr_assert_eq(readFrom(whole.substr(0, size), end), std::nullopt, "after %zu bytes", size);
        }
    }
}

Test(peer_frames, frame_beyond_the_limit_is_rejected)
{
    cr_assert_eq(readFrom(std::string("\0\0\0\x41", 4) + std::string(65, 'x'), connection_end::regular), std::nullopt);
    cr_assert_eq(readFrom("\xff\xff\xff\xff", connection_end::regular), std::nullopt);
    cr_assert_eq(readFrom("HTTP/1.1 000 OK\r\n\r\n", connection_end::regular), std::nullopt);
}
