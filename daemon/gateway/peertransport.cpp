#include "peertransport.h"

#include "decodeorlog.h"

#include "cardamomdeck/base/countguard.h"
#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/framing.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/quota/quotamessage.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Timeout of one view request with its response. */
constexpr milliseconds viewRequestTimeout{500};

/** Timeout of the connection for a view update; a live VM accepts it even if its entry is busy. */
constexpr milliseconds relayConnectTimeout{200};

/** Time for which the confirmation of a view update is awaited; a live peer takes about 20 ms on a small VM. */
constexpr milliseconds viewUpdateTimeout{2000};

/** Maximum size of a compressed message in bytes: a configuration of many rules and all backend servers. */
constexpr std::size_t maxFrameBytes = 2U * 1024U * 1024U;

/**
 * Maximum number of view requests that are answered concurrently. A response to a starting entry holds the full view;
 * any further requester reads the store sooner than it would receive a response.
 */
constexpr std::size_t maxActiveResponses = 8;

/** Maximum number of datagrams dropped at once; a socket's buffer holds about a hundred. */
constexpr std::size_t maxDroppedDatagrams = 10'000;

/** Maximum size of a heartbeat in bytes. */
constexpr std::size_t maxDatagramBytes = 4096;

}

peer_transport::peer_transport(asio::io_context &context, fleet_state &state)
    : m_context(context)
    , m_state(state)
    , m_datagrams(context)
    , m_acceptor(context)
{
}

result_code peer_transport::start(const std::string &host, std::uint16_t port)
{
    m_port = port;
    beast::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (!error) {
        m_datagrams.open(udp::v4(), error);
    }
    if (!error) {
        m_datagrams.bind(udp::endpoint(address, port), error);
    }
    if (!error) {
        m_datagrams.non_blocking(true, error);
    }
    if (error) {
        return result_code::port_in_use;
    }
    const result_code code = openAcceptor(m_acceptor, {host, port});
    if (code != result_code::ok) {
        return code;
    }
    startLoop(m_context, "peer_datagrams", [this] { return receiveLoop(); });
    startLoop(m_context, "peer_connections", [this] { return acceptLoop(); });
    return code;
}

void peer_transport::onHeartbeat(std::function<void(const heartbeat_message &)> handler)
{
    m_heartbeatHandler = std::move(handler);
}

void peer_transport::onQuotaMessage(std::function<void(std::string_view, const std::string &)> handler)
{
    m_quotaMessageHandler = std::move(handler);
}

void peer_transport::onViewUpdate(std::function<void(view_update)> handler)
{
    m_viewUpdateHandler = std::move(handler);
}

void peer_transport::sendHeartbeat(const heartbeat_message &heartbeat, const std::vector<std::string> &hosts)
{
    const std::string bytes = encode(heartbeat, steady::now());
    for (const std::string &host : hosts) {
        // If the send buffer is full, the heartbeat is dropped; the next one follows soon.
        sendDatagram(bytes, host);
    }
}

void peer_transport::sendDatagram(std::string_view datagram, const std::string &host)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (!error) {
        m_datagrams.send_to(asio::buffer(datagram), udp::endpoint(address, m_port), 0, error);
    }
}

std::size_t peer_transport::dropQueuedDatagrams()
{
    std::array<char, maxDatagramBytes> buffer{};
    udp::endpoint sender;
    beast::error_code error;
    std::size_t dropped = 0;
    for (; dropped < maxDroppedDatagrams; ++dropped) {
        m_datagrams.receive_from(asio::buffer(buffer), sender, 0, error);
        if (error) {
            break;
        }
    }
    return dropped;
}

asio::awaitable<void> peer_transport::receiveLoop()
{
    std::array<char, maxDatagramBytes> buffer{};
    udp::endpoint sender;
    while (m_datagrams.is_open()) {
        const auto [error, size] = co_await m_datagrams.async_receive_from(asio::buffer(buffer), sender, asTuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue;
        }
        const std::string_view message(buffer.data(), size);
        if (isQuotaMessage(message)) {
            if (m_quotaMessageHandler) {
                m_quotaMessageHandler(message, sender.address().to_string());
            }
            continue;
        }
        if (const auto heartbeat
            = decodeOrLog("peer_message_rejected", "notice", [&] { return decodeHeartbeat(message, steady::now()); })) {
            m_heartbeatHandler(*heartbeat);
        }
    }
}

asio::awaitable<void> peer_transport::acceptLoop()
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            const auto accepted = std::make_shared<tcp::socket>(std::move(socket));
            startTask(m_context, "peer_request", [this, accepted] { return handleConnection(std::move(*accepted)); });
        }
    }
}

asio::awaitable<void> peer_transport::handleConnection(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    stream.expires_at(steady::now() + viewRequestTimeout);
    const auto frame = co_await readFrame(stream, maxFrameBytes, m_transferredBytes);
    if (!frame) {
        co_return;
    }
    auto request
        = decodeOrLog("peer_message_rejected", "request", [&] { return decodeRequest(*frame, steady::now()); });
    if (!request) {
        co_return;
    }
    if (auto *const update = std::get_if<view_update>(&*request)) {
        const std::string confirmation;
        co_await writeFrame(stream, confirmation, m_transferredBytes);
        m_viewUpdateHandler(std::move(*update));
        co_return;
    }
    if (m_activeResponses >= maxActiveResponses) {
        co_return;
    }
    const count_guard activeResponseGuard(m_activeResponses);
    const auto response = m_responseCache.encodedResponse(m_state, std::get<view_request>(*request), steady::now());
    co_await writeFrame(stream, *response, m_transferredBytes);
}

asio::awaitable<bool> peer_transport::connect(beast::tcp_stream &stream, std::string host, time_point deadline)
{
    beast::error_code addressError;
    const tcp::endpoint endpoint(asio::ip::make_address(host, addressError), m_port);
    if (addressError) {
        co_return false;
    }
    stream.expires_at(deadline);
    const auto [error] = co_await stream.async_connect(endpoint, asTuple);
    co_return !error;
}

asio::awaitable<std::optional<std::string>>
peer_transport::exchange(std::string host, std::string message, time_point deadline)
{
    beast::tcp_stream stream(m_context);
    if (!co_await connect(stream, std::move(host), deadline)
        || !co_await writeFrame(stream, message, m_transferredBytes)) {
        co_return std::nullopt;
    }
    co_return co_await readFrame(stream, maxFrameBytes, m_transferredBytes);
}

asio::awaitable<std::optional<view_response>> peer_transport::requestView(std::string host, view_request request)
{
    const auto frame = co_await exchange(std::move(host), encode(request), steady::now() + viewRequestTimeout);
    if (!frame) {
        co_return std::nullopt;
    }
    co_return decodeOrLog("peer_message_rejected", "answer", [&] { return decodeViewResponse(*frame, steady::now()); });
}

asio::awaitable<update_delivery> peer_transport::sendViewUpdate(std::string host, view_update update)
{
    beast::tcp_stream stream(m_context);
    const std::string message = encode(update, steady::now());
    update_delivery delivery = update_delivery::unreachable;
    if (co_await connect(stream, host, steady::now() + relayConnectTimeout)) {
        const time_point deadline = steady::now() + viewUpdateTimeout;
        stream.expires_at(deadline);
        if (co_await writeFrame(stream, message, m_transferredBytes)) {
            if (co_await readFrame(stream, maxFrameBytes, m_transferredBytes)) {
                co_return update_delivery::confirmed;
            }
            delivery = steady::now() >= deadline ? update_delivery::unconfirmed : update_delivery::unreachable;
        }
    }
    log_line("news_not_confirmed")
        .add("host", host)
        .add("config", update.changes.position.configVersion)
        .add("reached", delivery == update_delivery::unconfirmed ? "true" : "false")
        .info();
    co_return delivery;
}

}
