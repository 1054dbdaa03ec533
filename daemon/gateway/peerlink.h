/**
 * @file
 * Carries heartbeats, questions and answers between entries.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"
#include "cardamomdeck/fleet/answercache.h"
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
class peer_link
{
public:
    /** A link on @p context that answers questions from @p state. */
    peer_link(boost::asio::io_context &context, fleet_state &state);

    /** Binds port @p port of @p host for datagrams and connections. Errors: port_in_use. */
    result_code start(const std::string &host, std::uint16_t port);

    /** Calls @p handler for each heartbeat. */
    void onNotice(std::function<void(const peer_notice &)> handler);

    /** Calls @p handler for news that a peer hands on. */
    void onPush(std::function<void(view_push)> handler);

    /** Drops the datagrams that wait in the socket; returns how many. */
    std::size_t dropQueued();

    /** Sends a heartbeat to @p hosts. */
    void send(const peer_notice &notice, const std::vector<std::string> &hosts);

    /** Asks the entry at @p host; nothing when it does not answer in time. */
    boost::asio::awaitable<std::optional<view_answer>> ask(std::string host, view_question question);

    /** Hands @p push to the entry at @p host; false when it does not confirm that in time. */
    boost::asio::awaitable<bool> push(std::string host, view_push push);

private:
    boost::asio::awaitable<std::optional<std::string>>
    exchange(std::string host, std::string message, time_point deadline);
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    fleet_state &m_state;
    boost::asio::ip::udp::socket m_datagrams;
    boost::asio::ip::tcp::acceptor m_acceptor;
    answer_cache m_answerCache;
    std::function<void(const peer_notice &)> m_notice;
    std::function<void(view_push)> m_push;
    std::uint16_t m_port = 0;
    std::uint64_t m_bytes = 0;
    /** Questions that are being answered. */
    std::size_t m_answers = 0;
};

}
