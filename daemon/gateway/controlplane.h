/**
 * @file
 * Keeps one entry's view of the fleet current: reads the store, listens to peers, and publishes views.
 */
#pragma once

#include "memberregistry.h"
#include "viewupdaterelay.h"
#include "peertransport.h"
#include "storereader.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/base/suspension.h"
#include "cardamomdeck/fleet/fleetstate.h"
#include "cardamomdeck/platform/platformsettings.h"
#include "cardamomdeck/platform/storeclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Runs on the control thread. */
class control_plane
{
public:
    using view_publisher = std::function<void(const fleet_view_ptr &)>;

    /** Control of the entry with @p settings; hands each new view to @p publish. */
    control_plane(boost::asio::io_context &context,
                  const platform::platform_settings &settings,
                  view_publisher publish);

    /** Starts to listen and to read. Errors: port_in_use. */
    result_code start();

    /** Tells the peers that this entry shuts down. */
    void startShutdown();

    /** What is known; for status answers. */
    const fleet_state &state() const;

    /** False after a failed call, until one succeeds. */
    bool isStoreAvailable() const;

    /** True right after the process was paused for long: its view is about to be read anew. */
    bool isViewPossiblyStale();

    /** Calls made to the store. */
    std::uint64_t storeCalls() const;

private:
    boost::asio::awaitable<void> loadInitialView();
    boost::asio::awaitable<void> storeReadLoop();
    boost::asio::awaitable<void> heartbeatLoop();
    boost::asio::awaitable<void> readStore();
    boost::asio::awaitable<void> requestViewFromPeer(heartbeat_message notice);
    void handleHeartbeat(const heartbeat_message &notice);
    void handleViewUpdate(const view_update &push);
    /** The configuration of @p news, if it is newer; what cannot be restored or decoded is logged. */
    std::optional<config_source> decodeUpdatedConfig(const view_response &news);
    void sendToAllPeers(const heartbeat_message &notice);
    /** Tells peers that this entry has its first view. */
    void announceReady();
    void sendHeartbeat();
    void recordStoreAvailability(bool available, const char *part);
    void publish();
    /** True right after a pause of this process; drops what has arrived meanwhile, and distrusts the view. */
    bool detectPause();

    boost::asio::io_context &m_context;
    const platform::platform_settings &m_settings;
    view_publisher m_publishView;
    random_source m_random;
    fleet_state m_state;
    peer_transport m_transport;
    view_update_relay m_updateRelay;
    platform::store_client m_store;
    store_reader m_storeReader;
    member_registry m_memberRegistry;
    boost::asio::steady_timer m_readTimer;
    fleet_view_ptr m_publishedView;
    pause_detector m_pauseDetector;
    /** Questions to peers that are under way; one at a time. */
    unsigned m_pendingViewRequests = 0;
    bool m_storeAvailable = true;
};

}
