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

/** Period in which each peer is asked. */
constexpr milliseconds pollPeriod{800};

/** Shortest time between two questions to one peer. */
constexpr milliseconds minPollGap{20};

/** Longest time that one question may take. */
constexpr milliseconds pollTimeout{1000};

/** Longest time that a peer may be quiet on a connection to this entry. */
constexpr milliseconds incomingIdleTimeout{10'000};

/** Period in which the set of peers is compared with the members. */
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

/** The connection on which this entry asks one peer. */
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
    log_offset peerApplied = 0;
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
    for (auto &[address, link] : m_connections) {
        link->pollAgain = true;
        if (!link->polling) {
            link->timer.cancel();
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
            co_await sleepUntil(steady::now() + minPollGap);
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
        const std::set<socket_address> wanted = peerAddresses();
        for (const socket_address &address : wanted) {
            if (m_connections.contains(address)) {
                continue;
            }
            auto link = std::make_shared<peer_connection>(m_context, address);
            m_connections[address] = link;
            startLoop(m_context, "peer_questions", [this, link] { return pollLoop(link); });
        }
        std::erase_if(m_connections, [&](const auto &item) {
            item.second->removed = !wanted.contains(item.first);
            return item.second->removed;
        });
        co_await sleepUntil(steady::now() + connectionUpdatePeriod);
    }
}

asio::awaitable<void> peer_exchange::pollLoop(std::shared_ptr<peer_connection> link)
{
    while (!link->removed) {
        link->pollAgain = false;
        link->polling = true;
        const bool answered = co_await pollOnce(link);
        link->polling = false;
        if (!answered) {
            link->stream.reset();
            link->peerApplied = m_state.config().appliedOffset();
        }
        // A failed question is not repeated at once.
        const bool again = link->pollAgain && answered;
        link->timer.expires_at(steady::now() + (again ? minPollGap : pollPeriod));
        co_await link->timer.async_wait(asTuple);
    }
}

asio::awaitable<bool> peer_exchange::pollOnce(std::shared_ptr<peer_connection> link)
{
    const time_point askedAt = steady::now();
    if (!link->stream && !co_await connect(link, askedAt + pollTimeout)) {
        co_return false;
    }
    link->stream->expires_at(askedAt + pollTimeout);
    const std::string question = encodePeerMessage(m_state.messageFor(link->peerApplied));
    if (!co_await writeFrame(*link->stream, question, m_bytes)) {
        co_return false;
    }
    const auto frame = co_await readFrame(*link->stream, maxPeerFrameBytes, m_bytes);
    if (!frame) {
        co_return false;
    }
    const auto message = decodeFrame(*frame);
    if (!message) {
        co_return false;
    }
    link->peerApplied = message->appliedOffset;
    m_state.handlePeerReply(*message, askedAt);
    co_return true;
}

asio::awaitable<bool> peer_exchange::connect(std::shared_ptr<peer_connection> link, time_point deadline)
{
    beast::error_code addressError;
    const tcp::endpoint endpoint(asio::ip::make_address(link->address.host, addressError), link->address.port);
    link->stream.emplace(m_context);
    link->stream->expires_at(deadline);
    const auto [error] = co_await link->stream->async_connect(endpoint, asTuple);
    beast::error_code ignored;
    link->stream->socket().set_option(tcp::no_delay(true), ignored);
    // What the peer holds is not known until its first reply.
    link->peerApplied = m_state.config().appliedOffset();
    co_return !error;
}

std::set<socket_address> peer_exchange::peerAddresses() const
{
    std::set<socket_address> wanted(m_settings.seeds.begin(), m_settings.seeds.end());
    for (const auto &[name, member] : m_state.config().members()) {
        wanted.insert(member.peerAddress);
    }
    wanted.erase(m_settings.peer);
    return wanted;
}

}
