/**
 * @file
 * Relays view updates to other entries along a tree.
 */
#pragma once

#include "cardamomdeck/fleet/fleetmessage.h"
#include "cardamomdeck/fleet/relaytree.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** What became of an update that was sent to an entry. */
enum class update_delivery {
    unreachable, /**< The connection failed, or the entry closed it. */
    unconfirmed, /**< The update was sent; the entry has not confirmed it in time, and may be busy. */
    confirmed,
};

/**
 * If an entry cannot be reached, the next entry of its group takes its place. The part of a group whose entry has
 * received an update and does not relay it requests the view from the entry that announced the update.
 */
class view_update_relay
{
public:
    /** Sends an update to the entry at a host. */
    using update_sender
        = std::function<boost::asio::awaitable<update_delivery>(const std::string &host, const view_update &update)>;

    /** Sends updates with @p send. */
    view_update_relay(boost::asio::io_context &context, update_sender send);

    /** Sends @p update to one entry of each of @p groups, which relays it to the rest of its group. */
    void broadcast(const view_update &update, const std::vector<relay_group> &groups);

private:
    boost::asio::awaitable<void> sendToGroup(view_update update, relay_group group);

    boost::asio::io_context &m_context;
    update_sender m_send;
};

}
