/**
 * @file
 * Transport between entries for heartbeats, view requests and view updates.
 */
#pragma once

#include "viewupdaterelay.h"

#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"
#include "cardamomdeck/fleet/viewresponsecache.h"
#include "cardamomdeck/fleet/fleetstate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Heartbeats are UDP datagrams, to avoid head-of-line blocking; view requests and updates are TCP frames. */
class peer_transport
{
public:
    /** Runs on @p context and responds to view requests from @p state. */
    peer_transport(boost::asio::io_context &context, fleet_state &state);

    /** Binds @p port of @p host for UDP and TCP. Errors: port_in_use. */
    result_code start(const std::string &host, std::uint16_t port);

    /** Sets the handler that is called for each received heartbeat. */
    void onHeartbeat(std::function<void(const heartbeat_message &)> handler);

    /** Sets the handler that is called for each datagram about quotas, with the address of its sender. */
    void onQuotaMessage(std::function<void(std::string_view, const std::string &)> handler);

    /** Sets the handler that is called for each view update that a peer sends. */
    void onViewUpdate(std::function<void(view_update)> handler);

    /** Drops the datagrams that are queued in the socket; returns their number. */
    std::size_t dropQueuedDatagrams();

    /** Sends @p heartbeat to @p hosts. */
    void sendHeartbeat(const heartbeat_message &heartbeat, const std::vector<std::string> &hosts);

    /** Sends @p datagram to the entry at @p host; it is dropped if the send buffer is full. */
    void sendDatagram(std::string_view datagram, const std::string &host);

    /** Requests the view of the entry at @p host; returns nothing on failure or timeout. */
    boost::asio::awaitable<std::optional<view_response>> requestView(std::string host, view_request request);

    /** Sends @p update to the entry at @p host, and logs if it is not confirmed. */
    boost::asio::awaitable<update_delivery> sendViewUpdate(std::string host, view_update update);

private:
    boost::asio::awaitable<bool> connect(boost::beast::tcp_stream &stream, std::string host, time_point deadline);
    boost::asio::awaitable<std::optional<std::string>>
    exchange(std::string host, std::string message, time_point deadline);
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> handleConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    fleet_state &m_state;
    boost::asio::ip::udp::socket m_datagrams;
    boost::asio::ip::tcp::acceptor m_acceptor;
    view_response_cache m_responseCache;
    std::function<void(const heartbeat_message &)> m_heartbeatHandler;
    std::function<void(view_update)> m_viewUpdateHandler;
    std::function<void(std::string_view, const std::string &)> m_quotaMessageHandler;
    std::uint16_t m_port = 0;
    std::uint64_t m_transferredBytes = 0;
    /** Number of view requests that are being answered. */
    std::size_t m_activeResponses = 0;
};

}
