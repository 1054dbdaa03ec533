/**
 * @file
 * Relays view updates to other entries along a tree.
 */
#pragma once

#include "peertransport.h"

#include "cardamomdeck/fleet/fleetmessage.h"
#include "cardamomdeck/fleet/relaytree.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <vector>

namespace cardamomdeck {

/** If an entry does not confirm an update, it is skipped and the next entry of its group takes its place. */
class view_update_relay
{
public:
    /** Sends updates over @p transport. */
    view_update_relay(boost::asio::io_context &context, peer_transport &transport);

    /** Sends @p update to one entry of each of @p groups, which relays it to the rest of its group. */
    void broadcast(const view_update &update, const std::vector<relay_group> &groups);

private:
    boost::asio::awaitable<void> sendToGroup(view_update update, relay_group group);

    boost::asio::io_context &m_context;
    peer_transport &m_transport;
};

}
