/**
 * @file
 * Exchange of messages with the other entries.
 */
#pragma once

#include "controlstate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cardamomdeck {

/** Polls each peer periodically and at once after a change; responds to the requests of peers. */
class peer_exchange
{
public:
    /** Exchanges messages for @p state; the loops run on @p context. */
    peer_exchange(boost::asio::io_context &context, const entry_settings &settings, control_state &state);

    /** Binds the peer port and starts the loops. Errors: port_in_use. */
    result_code start();

    /** Polls all peers without waiting for the end of the period. */
    void pollSoon();

    /** Bytes sent and received on connections to and from peers. */
    std::uint64_t bytes() const;

private:
    struct peer_connection;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> updateConnectionsLoop();
    boost::asio::awaitable<void> pollLoop(std::shared_ptr<peer_connection> connection);
    boost::asio::awaitable<bool> pollOnce(std::shared_ptr<peer_connection> connection);
    boost::asio::awaitable<bool> connect(std::shared_ptr<peer_connection> connection, time_point deadline);
    std::set<socket_address> peerAddresses() const;

    boost::asio::io_context &m_context;
    const entry_settings &m_settings;
    control_state &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<socket_address, std::shared_ptr<peer_connection>> m_connections;
    std::uint64_t m_bytes = 0;
};

}
