/**
 * @file
 * Keeps one entry's view of the fleet current: reads the store, exchanges messages with peers, and publishes views.
 */
#pragma once

#include "evacuationreport.h"
#include "memberregistry.h"
#include "viewupdaterelay.h"
#include "peertransport.h"
#include "storereader.h"
#include "zoneloadexchange.h"

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
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomdeck {

/** Runs on the control thread. */
class control_plane
{
public:
    using view_publisher = std::function<void(const fleet_view_ptr &)>;

    /** Runs the control plane of the entry with @p settings; passes each new view to @p publishView. */
    control_plane(boost::asio::io_context &context,
                  const platform::platform_settings &settings,
                  view_publisher publishView);

    /** Starts to listen for peers and to read the store. Errors: port_in_use. */
    result_code start();

    /** Sets the source and the receiver of the zone loads in heartbeats. */
    void setZoneLoadExchange(zone_load_exchange exchange)
    {
        m_zoneLoads = std::move(exchange);
    }

    /** Announces the shutdown of this entry to its peers and removes it from the store. */
    void startShutdown();

    /** Sets the handler of datagrams about quotas; it does not receive those that waited during a pause. */
    void onQuotaMessage(std::function<void(std::string_view, const std::string &)> handler);

    /** Sends a datagram about quotas to the entry at @p host. */
    void sendQuotaMessage(std::string_view datagram, const std::string &host);

    /** The present state, for status responses. */
    const fleet_state &state() const;

    /** False after a failed call to the store, until one succeeds. */
    bool isStoreAvailable() const;

    /** True after a long pause of the process, until its view is confirmed or read again. */
    bool isViewPossiblyStale();

    /** Number of calls sent to the store. */
    std::uint64_t storeCalls() const;

private:
    boost::asio::awaitable<void> loadInitialView();
    boost::asio::awaitable<void> storeReadLoop();
    boost::asio::awaitable<void> heartbeatLoop();
    boost::asio::awaitable<void> readStore();
    boost::asio::awaitable<void> requestViewFromPeer(heartbeat_message heartbeat,
                                                     std::optional<time_point> announcedFreshAt);
    void handleHeartbeat(const heartbeat_message &heartbeat);
    void handleViewUpdate(const view_update &update);
    /** The configuration in @p changes, if it is newer; logs one that cannot be restored or decoded. */
    std::optional<config_source> decodeUpdatedConfig(const view_response &changes);
    void sendToAllPeers(const heartbeat_message &heartbeat);
    /** Announces to peers that this entry has its first view. */
    void announceReady();
    void sendHeartbeat();
    /** Logs once that the view follows a restored store, due to @p source. */
    void recordEra(std::string_view source);
    void recordStoreAvailability(bool available, const char *part);
    void publish();
    /** Publishes a view with news from @p source, and logs changes of evacuations. */
    void publishNews(std::string_view source);
    /**
     * Returns true if this process was paused since the last call; then drops the datagrams that were queued meanwhile
     * and marks the view as possibly stale.
     */
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
    zone_load_exchange m_zoneLoads;
    evacuation_log m_evacuationLog;
    /** Last position of the view, for recordEra(). */
    view_position m_followed;
    pause_detector m_pauseDetector;
    /** View requests to peers that are in flight; at most one. */
    unsigned m_pendingViewRequests = 0;
    bool m_storeAvailable = true;
};

}
