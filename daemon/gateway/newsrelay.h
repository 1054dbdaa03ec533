/**
 * @file
 * Hands news of the view on to other entries, in a tree.
 */
#pragma once

#include "peerlink.h"

#include "cardamomdeck/fleet/peernotice.h"
#include "cardamomdeck/fleet/relaytree.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <vector>

namespace cardamomdeck {

/** An entry that does not confirm is left out, and the next of its group takes its place. */
class news_relay
{
public:
    /** A relay that sends over @p link. */
    news_relay(boost::asio::io_context &context, peer_link &link);

    /** Hands @p push to one entry of each of @p groups, which hands it on to the others. */
    void spread(const view_push &push, const std::vector<relay_group> &groups);

private:
    boost::asio::awaitable<void> handTo(view_push push, relay_group group);

    boost::asio::io_context &m_context;
    peer_link &m_link;
};

}
