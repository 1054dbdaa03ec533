/**
 * @file
 * Hands news of the view on to other entries, in a tree.
 */
#pragma once

#include "peertransport.h"

#include "cardamomdeck/fleet/fleetmessage.h"
#include "cardamomdeck/fleet/relaytree.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <vector>

namespace cardamomdeck {

/** An entry that does not confirm is left out, and the next of its group takes its place. */
class view_update_relay
{
public:
    /** A relay that sends over @p link. */
    view_update_relay(boost::asio::io_context &context, peer_transport &link);

    /** Hands @p push to one entry of each of @p groups, which hands it on to the others. */
    void broadcast(const view_update &push, const std::vector<relay_group> &groups);

private:
    boost::asio::awaitable<void> sendToGroup(view_update push, relay_group group);

    boost::asio::io_context &m_context;
    peer_transport &m_transport;
};

}
