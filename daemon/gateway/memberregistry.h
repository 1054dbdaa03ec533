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
class member_registry
{
public:
    /** A directory in @p store; reports each call's success to @p noteStore, and calls @p membersRead after a read. */
    member_registry(platform::store_client &store,
                    fleet_state &state,
                    std::function<void(bool)> noteStore,
                    std::function<void()> membersRead);

    /** Runs for the life of the process. */
    boost::asio::awaitable<void> run();

    /** Removes this entry, if it was announced. */
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> registerSelf();
    boost::asio::awaitable<void> readMembers();

    platform::store_client &m_store;
    fleet_state &m_state;
    std::function<void(bool)> m_onStoreCall;
    std::function<void()> m_onMembersRead;
    bool m_registered = false;
    /** A record may be in the store: also after a write whose answer was lost. */
    bool m_possiblyRegistered = false;
};

}
