#include "peerexchange.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/http/framing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace leaf = boost::leaf;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Period in which each peer is polled. */
constexpr milliseconds pollPeriod{800};

/** Minimum time between two polls of a peer; also the delay after a failed accept. */
constexpr milliseconds minPollInterval{20};

/** Timeout of one poll, including the connection setup. */
constexpr milliseconds pollTimeout{1000};

/** Idle timeout of a connection from a peer. */
constexpr milliseconds incomingIdleTimeout{10'000};

/** Period in which the connections are matched with the seeds and members. */
constexpr milliseconds connectionUpdatePeriod{100};

std::optional<peer_message> decodeFrame(const std::string &frame)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<peer_message>> {
            BOOST_LEAF_AUTO(message, decodePeerMessage(frame));
            return message;
        },
        [](const failure &error) {
            log_line("peer_frame_rejected").add("code", infoOf(error.code).name).add("detail", error.detail).warn();
            return std::optional<peer_message>();
        },
        [] { return std::optional<peer_message>(); });
}

}

/** The connection on which this entry polls one peer. */
struct peer_exchange::peer_connection
{
    peer_connection(asio::io_context &context, socket_address peerAddress)
        : address(std::move(peerAddress))
        , timer(context)
    {
    }

    socket_address address;
    std::optional<beast::tcp_stream> stream;
    asio::steady_timer timer;
    log_offset peerAppliedOffset = 0;
    bool pollAgain = false;
    bool polling = false;
    bool removed = false;
};

peer_exchange::peer_exchange(asio::io_context &context, const entry_settings &settings, control_state &state)
    : m_context(context)
    , m_settings(settings)
    , m_state(state)
    , m_acceptor(context)
{
}

result_code peer_exchange::start()
{
    const result_code code = openAcceptor(m_acceptor, m_settings.peer);
    if (code != result_code::ok) {
        return code;
    }
    startLoop(m_context, "peer_connections", [this] { return acceptLoop(); });
    startLoop(m_context, "peer_links", [this] { return updateConnectionsLoop(); });
    return code;
}

void peer_exchange::pollSoon()
{
    for (auto &[address, connection] : m_connections) {
        connection->pollAgain = true;
        if (!connection->polling) {
            connection->timer.cancel();
        }
    }
}

std::uint64_t peer_exchange::bytes() const
{
    return m_bytes;
}

asio::awaitable<void> peer_exchange::acceptLoop()
{
    for (;;) {
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (error) {
            co_await sleepUntil(steady::now() + minPollInterval);
            continue;
        }
        auto accepted = std::make_shared<tcp::socket>(std::move(socket));
        startTask(m_context, "peer_request", [this, accepted] { return serveConnection(std::move(*accepted)); });
    }
}

asio::awaitable<void> peer_exchange::serveConnection(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    for (;;) {
        stream.expires_at(steady::now() + incomingIdleTimeout);
        const auto frame = co_await readFrame(stream, maxPeerFrameBytes, m_bytes);
        if (!frame) {
            co_return;
        }
        const auto message = decodeFrame(*frame);
        if (!message) {
            co_return;
        }
        m_state.handlePeerRequest(*message);
        const std::string reply = encodePeerMessage(m_state.messageFor(message->appliedOffset));
        if (!co_await writeFrame(stream, reply, m_bytes)) {
            co_return;
        }
    }
}

asio::awaitable<void> peer_exchange::updateConnectionsLoop()
{
    for (;;) {
        const std::set<socket_address> addresses = peerAddresses();
        for (const socket_address &address : addresses) {
            if (m_connections.contains(address)) {
                continue;
            }
            auto connection = std::make_shared<peer_connection>(m_context, address);
            m_connections[address] = connection;
            startLoop(m_context, "peer_questions", [this, connection] { return pollLoop(connection); });
        }
        std::erase_if(m_connections, [&](const auto &item) {
            item.second->removed = !addresses.contains(item.first);
            return item.second->removed;
        });
        co_await sleepUntil(steady::now() + connectionUpdatePeriod);
    }
}

asio::awaitable<void> peer_exchange::pollLoop(std::shared_ptr<peer_connection> connection)
{
    while (!connection->removed) {
        connection->pollAgain = false;
        connection->polling = true;
        const bool replied = co_await pollOnce(connection);
        connection->polling = false;
        if (!replied) {
            connection->stream.reset();
            connection->peerAppliedOffset = m_state.config().appliedOffset();
        }
        // A failed poll is not retried at once.
        const bool pollImmediately = connection->pollAgain && replied;
        connection->timer.expires_at(steady::now() + (pollImmediately ? minPollInterval : pollPeriod));
        co_await connection->timer.async_wait(asTuple);
    }
}

asio::awaitable<bool> peer_exchange::pollOnce(std::shared_ptr<peer_connection> connection)
{
    const time_point requestSentAt = steady::now();
    if (!connection->stream && !co_await connect(connection, requestSentAt + pollTimeout)) {
        co_return false;
    }
    connection->stream->expires_at(requestSentAt + pollTimeout);
    const std::string request = encodePeerMessage(m_state.messageFor(connection->peerAppliedOffset));
    if (!co_await writeFrame(*connection->stream, request, m_bytes)) {
        co_return false;
    }
    const auto frame = co_await readFrame(*connection->stream, maxPeerFrameBytes, m_bytes);
    if (!frame) {
        co_return false;
    }
    const auto message = decodeFrame(*frame);
    if (!message) {
        co_return false;
    }
    connection->peerAppliedOffset = message->appliedOffset;
    m_state.handlePeerReply(*message, requestSentAt);
    co_return true;
}

asio::awaitable<bool> peer_exchange::connect(std::shared_ptr<peer_connection> connection, time_point deadline)
{
    beast::error_code addressError;
    const tcp::endpoint endpoint(asio::ip::make_address(connection->address.host, addressError),
                                 connection->address.port);
    connection->stream.emplace(m_context);
    connection->stream->expires_at(deadline);
    const auto [error] = co_await connection->stream->async_connect(endpoint, asTuple);
    beast::error_code ignored;
    connection->stream->socket().set_option(tcp::no_delay(true), ignored);
    // The peer's applied offset is unknown until its first reply.
    connection->peerAppliedOffset = m_state.config().appliedOffset();
    co_return !error;
}

std::set<socket_address> peer_exchange::peerAddresses() const
{
    std::set<socket_address> addresses(m_settings.seeds.begin(), m_settings.seeds.end());
    for (const auto &[name, member] : m_state.config().members()) {
        addresses.insert(member.peerAddress);
    }
    addresses.erase(m_settings.peer);
    return addresses;
}

}
