/**
 * @file
 * Keeps one entry's view of the fleet current: reads the store, listens to peers, and publishes views.
 */
#pragma once

#include "memberdirectory.h"
#include "newsrelay.h"
#include "peerlink.h"
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
class fleet_control
{
public:
    using publisher = std::function<void(const fleet_view_ptr &)>;

    /** Control of the entry with @p settings; hands each new view to @p publish. */
    fleet_control(boost::asio::io_context &context, const platform::platform_settings &settings, publisher publish);

    /** Starts to listen and to read. Errors: port_in_use. */
    result_code start();

    /** Tells the peers that this entry shuts down. */
    void startLeaving();

    /** What is known; for status answers. */
    const fleet_state &state() const;

    /** False after a failed call, until one succeeds. */
    bool storeAvailable() const;

    /** True right after the process was paused for long: its view is about to be read anew. */
    bool isViewSuspect();

    /** Calls made to the store. */
    std::uint64_t storeCalls() const;

private:
    boost::asio::awaitable<void> learnFirstView();
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> heartbeatLoop();
    boost::asio::awaitable<void> readStore();
    boost::asio::awaitable<void> askPeer(peer_notice notice);
    void hear(const peer_notice &notice);
    void takeOver(const view_push &push);
    /** The configuration of @p news, if it is newer; what cannot be restored or decoded is logged. */
    std::optional<config_source> receiveConfig(const view_answer &news);
    void tellAll(const peer_notice &notice);
    /** Tells peers that this entry has its first view. */
    void tellOfStart();
    void sendHeartbeat();
    void noteStore(bool available, const char *part);
    void publish();
    /** True right after a pause of this process; drops what has arrived meanwhile, and distrusts the view. */
    bool checkPause();

    boost::asio::io_context &m_context;
    const platform::platform_settings &m_settings;
    publisher m_publish;
    random_source m_random;
    fleet_state m_state;
    peer_link m_link;
    news_relay m_relay;
    platform::store_client m_store;
    store_reader m_reader;
    member_directory m_directory;
    boost::asio::steady_timer m_readTimer;
    fleet_view_ptr m_published;
    pause_meter m_pauses;
    /** Questions to peers that are under way; one at a time. */
    unsigned m_asking = 0;
    bool m_storeAvailable = true;
};

}
