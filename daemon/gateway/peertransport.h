/**
 * @file
 * Carries heartbeats, questions and answers between entries.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"
#include "cardamomdeck/fleet/viewresponsecache.h"
#include "cardamomdeck/fleet/fleetstate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Heartbeats are datagrams, which are never late because of an earlier one; questions use TCP frames. */
class peer_transport
{
public:
    /** A link on @p context that answers questions from @p state. */
    peer_transport(boost::asio::io_context &context, fleet_state &state);

    /** Binds port @p port of @p host for datagrams and connections. Errors: port_in_use. */
    result_code start(const std::string &host, std::uint16_t port);

    /** Calls @p handler for each heartbeat. */
    void onHeartbeat(std::function<void(const heartbeat_message &)> handler);

    /** Calls @p handler for news that a peer hands on. */
    void onViewUpdate(std::function<void(view_update)> handler);

    /** Drops the datagrams that wait in the socket; returns how many. */
    std::size_t dropQueuedDatagrams();

    /** Sends a heartbeat to @p hosts. */
    void sendHeartbeat(const heartbeat_message &notice, const std::vector<std::string> &hosts);

    /** Asks the entry at @p host; nothing when it does not answer in time. */
    boost::asio::awaitable<std::optional<view_response>> requestView(std::string host, view_request question);

    /** Hands @p push to the entry at @p host; false when it does not confirm that in time. */
    boost::asio::awaitable<bool> sendViewUpdate(std::string host, view_update push);

private:
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
    std::uint16_t m_port = 0;
    std::uint64_t m_transferredBytes = 0;
    /** Questions that are being answered. */
    std::size_t m_activeResponses = 0;
};

}
