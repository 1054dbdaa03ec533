/**
 * @file
 * Reads new records from the store.
 */
#pragma once

#include "cardamomdeck/fleet/fleetstate.h"
#include "cardamomdeck/platform/storeclient.h"

#include <boost/asio/awaitable.hpp>

namespace cardamomdeck {

/**
 * Reads the configuration with the evacuations, and the backend servers, from the end offset of the entry's view, or
 * lists them completely if there is no view yet, that offset has expired, or the store has been restored from an older
 * copy. The configuration is also listed when
 * evacuation_table::needsListing().
 */
class store_reader
{
public:
    /** Reads records from @p store that are newer than @p state. */
    store_reader(platform::store_client &store, const fleet_state &state);

    /** Fills @p storeRead by two concurrent reads. Records that cannot be decoded are logged and skipped. */
    boost::asio::awaitable<void> read(store_read_result &storeRead, time_point deadline);

private:
    boost::asio::awaitable<bool> readConfig(store_read_result &storeRead, time_point deadline);
    boost::asio::awaitable<bool> readBackends(store_read_result &storeRead, time_point deadline);

    platform::store_client &m_store;
    const fleet_state &m_state;
};

}
