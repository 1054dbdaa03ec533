/**
 * @file
 * Registers a few entries in the store, where others find the fleet when no seed responds.
 */
#pragma once

#include "cardamomdeck/fleet/fleetstate.h"
#include "cardamomdeck/platform/storeclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace cardamomdeck {

/**
 * Registers this entry in the store if it is among the first by rank or its members are unknown. Reads the members if
 * they are unknown or this entry is the first by rank. A registration may be lost when the store is restored from an
 * older copy, and is repeated.
 */
class member_registry
{
public:
    /** Uses @p store; passes failed writes and the result of reads to @p onStoreCall, and calls @p onMembersRead after
     * a read. */
    member_registry(boost::asio::io_context &context,
                    platform::store_client &store,
                    fleet_state &state,
                    std::function<void(bool)> onStoreCall,
                    std::function<void()> onMembersRead);

    /** Runs until the process exits. */
    boost::asio::awaitable<void> run();

    /** Repeats the registration of this entry, if it was made before the present era of the store. */
    void recordStoreRestored();

    /** Removes the record of this entry, if one may be in the store. */
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> registerSelf();
    boost::asio::awaitable<result_code> writeSelf();
    boost::asio::awaitable<void> readMembers();

    bool isRegistrationLost() const;

    platform::store_client &m_store;
    fleet_state &m_state;
    std::function<void(bool)> m_onStoreCall;
    std::function<void()> m_onMembersRead;
    /** Delays the next registration or read of the members. */
    boost::asio::steady_timer m_timer;
    bool m_registered = false;
    /** Era of the store in which this entry has registered. */
    store_era m_registeredEra;
    /** True if a record may be in the store, including after a write whose response was lost. */
    bool m_possiblyRegistered = false;
    /** Number of writes of the record without a response, 0 or 1. */
    unsigned m_registrationsInProgress = 0;
};

}
