/**
 * @file
 * Reads what is new in the store.
 */
#pragma once

#include "cardamomdeck/fleet/fleetstate.h"
#include "cardamomdeck/platform/storeclient.h"

#include <boost/asio/awaitable.hpp>

namespace cardamomdeck {

/** Reads the configuration and the back ends from where the entry's view ends, or anew when that is gone. */
class store_reader
{
public:
    /** Reads from @p store what is newer than @p state. */
    store_reader(platform::store_client &store, const fleet_state &state);

    /** Fills @p reading by two calls at once. Records that cannot be decoded are logged and left out. */
    boost::asio::awaitable<void> read(store_read_result &reading, time_point deadline);

private:
    boost::asio::awaitable<bool> readConfig(store_read_result &reading, time_point deadline);
    boost::asio::awaitable<bool> readBackends(store_read_result &reading, time_point deadline);

    platform::store_client &m_store;
    const fleet_state &m_state;
};

}
