/**
 * @file
 * Keeps a few entries in the store, where others find the fleet when no seed answers.
 */
#pragma once

#include "cardamomdeck/fleet/fleetstate.h"
#include "cardamomdeck/platform/storeclient.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace cardamomdeck {

/** Announces this entry there if others need it, and reads the members if this entry needs them. */
class member_directory
{
public:
    /** A directory in @p store; reports each call's success to @p noteStore, and calls @p membersRead after a read. */
    member_directory(platform::store_client &store,
                     fleet_state &state,
                     std::function<void(bool)> noteStore,
                     std::function<void()> membersRead);

    /** Runs for the life of the process. */
    boost::asio::awaitable<void> run();

    /** Removes this entry, if it was announced. */
    boost::asio::awaitable<void> withdraw();

private:
    boost::asio::awaitable<void> announce();
    boost::asio::awaitable<void> read();

    platform::store_client &m_store;
    fleet_state &m_state;
    std::function<void(bool)> m_noteStore;
    std::function<void()> m_membersRead;
    bool m_announced = false;
    /** A record may be in the store: also after a write whose answer was lost. */
    bool m_mayBeAnnounced = false;
};

}
