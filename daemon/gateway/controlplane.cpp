#include "controlplane.h"

#include "decodeorlog.h"

#include "cardamomdeck/base/countguard.h"
#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/platform/recordcodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Interval between heartbeats; a quarter of the heartbeat timeout after which a member counts as down. */
constexpr milliseconds heartbeatPeriod{400};

/** Timeout of one read of the store; a listing of 11,000 servers takes 22 calls. */
constexpr milliseconds readTimeout{5000};

/**
 * Time for which a starting entry waits for a peer that has a view. A response from another availability zone takes
 * about 5 ms, and longer on a small VM that is busy.
 */
constexpr milliseconds peerViewTimeout{25};

/** Time after which a starting entry reads the store even if a view request to a peer is still pending. */
constexpr milliseconds pendingViewTimeout{250};

/**
 * Initial and maximum delay between the heartbeats that a starting entry sends to join the fleet. The delay backs off
 * exponentially, because about a hundred entries may contact the same seeds.
 */
constexpr milliseconds minJoinRetryDelay{10};
constexpr milliseconds maxJoinRetryDelay{80};

/** Time to wait for a relayed view update before requesting it from the heartbeat's sender, and its jitter. */
constexpr milliseconds relayTimeout{250};
constexpr milliseconds relayJitter{150};

/** The offset of @p position for log lines. */
std::string textOf(const std::optional<topic_position> &position)
{
    return position ? std::to_string(position->offset) : "none";
}

std::string textOf(const store_era &era)
{
    return era ? std::to_string(*era) : "none";
}

fleet_member makeLocalMember(const platform::platform_settings &settings)
{
    fleet_member self{settings.vmName, settings.zone, settings.host, unixMilliseconds()};
    self.readCapacity = estimateReadCapacity(settings.resources.cores, settings.resources.linkMbps);
    return self;
}

}

control_plane::control_plane(asio::io_context &context,
                             const platform::platform_settings &settings,
                             view_publisher publishView)
    : m_context(context)
    , m_settings(settings)
    , m_publishView(std::move(publishView))
    , m_random(std::random_device()())
    , m_state(makeLocalMember(settings))
    , m_transport(context, m_state)
    , m_updateRelay(context,
                    [this](const std::string &host, const view_update &update) {
                        return m_transport.sendViewUpdate(host, update);
                    })
    , m_store(context.get_executor(), settings.storeAddress)
    , m_storeReader(m_store, m_state)
    , m_memberRegistry(
          context,
          m_store,
          m_state,
          [this](bool available) { recordStoreAvailability(available, "members"); },
          [this] { sendToAllPeers(m_state.basicHeartbeat(steady::now())); })
    , m_readTimer(context)
    , m_evacuationLog(settings)
    , m_pauseDetector(steady::now())
{
    m_transport.onHeartbeat([this](const heartbeat_message &heartbeat) { handleHeartbeat(heartbeat); });
    m_transport.onViewUpdate([this](const view_update &update) { handleViewUpdate(update); });
}

result_code control_plane::start()
{
    const result_code code = m_transport.start(m_settings.host, m_settings.peerPort);
    if (code != result_code::ok) {
        return code;
    }
    startLoop(m_context, "reading", [this] { return storeReadLoop(); });
    startLoop(m_context, "member_directory", [this] { return m_memberRegistry.run(); });
    startLoop(m_context, "heartbeat", [this] { return heartbeatLoop(); });
    return code;
}

asio::awaitable<void> control_plane::loadInitialView()
{
    const time_point startedAt = steady::now();
    milliseconds joinRetryDelay = minJoinRetryDelay;
    while (!m_state.isComplete()) {
        const milliseconds timeout = m_pendingViewRequests > 0 ? pendingViewTimeout : peerViewTimeout;
        if (steady::now() >= startedAt + timeout) {
            co_await readStore();
            co_return;
        }
        sendHeartbeat();
        co_await sleepUntil(steady::now() + joinRetryDelay);
        joinRetryDelay = std::min(joinRetryDelay * 2, maxJoinRetryDelay);
    }
}

asio::awaitable<void> control_plane::storeReadLoop()
{
    co_await loadInitialView();
    for (;;) {
        const time_point nextReadAt = m_state.nextRead(steady::now());
        if (nextReadAt <= steady::now()) {
            co_await readStore();
            continue;
        }
        m_readTimer.expires_at(nextReadAt);
        co_await m_readTimer.async_wait(asTuple);
    }
}

asio::awaitable<void> control_plane::readStore()
{
    store_read_result storeRead;
    storeRead.startedAt = steady::now();
    const time_point deadline = storeRead.startedAt + readTimeout;
    const view_position previousPosition = m_state.position();
    const bool isInitialRead = !m_state.isComplete();
    co_await m_storeReader.read(storeRead, deadline);
    const bool complete = storeRead.configRead && storeRead.backendsRead;
    recordStoreAvailability(complete,
                            storeRead.configRead == storeRead.backendsRead ? "all"
                            : storeRead.configRead                         ? "backends"
                                                                           : "config");
    const bool changed = m_state.applyStoreRead(storeRead, steady::now());
    recordEra("store");
    if (changed) {
        const view_position position = m_state.position();
        log_line("view_changed")
            .add("source", "store")
            .add("config_from", previousPosition.configVersion)
            .add("config", position.configVersion)
            .add("backends_changed_at", textOf(position.lastBackendChange))
            .info();
        publishNews("store");
    }
    m_evacuationLog.recordDropped(storeRead.evacuations, m_state.evacuations());
    if (!complete && !changed) {
        co_return;
    }
    if (isInitialRead) {
        announceReady();
        co_return;
    }
    const time_point now = steady::now();
    const auto announcement = m_state.announceChanges(previousPosition, now);
    if (!announcement) {
        co_return;
    }
    if (announcement->update) {
        m_updateRelay.broadcast(*announcement->update,
                                relayGroups(m_state.members().alive(now), m_state.members().self()));
    }
    sendToAllPeers(announcement->heartbeat);
}

void control_plane::recordEra(std::string_view source)
{
    const view_position position = m_state.position();
    if (position.configEnd.era <= m_followed.configEnd.era && position.backendsEnd.era <= m_followed.backendsEnd.era) {
        m_followed = position;
        return;
    }
    if (m_followed.backendsEnd.era) {
        log_line("store_restored")
            .add("source", source)
            .add("era_from", textOf(m_followed.backendsEnd.era))
            .add("era", textOf(position.backendsEnd.era))
            .add("config_era", textOf(position.configEnd.era))
            .add("config", position.configVersion)
            .add("config_end_from", m_followed.configEnd.offset)
            .add("config_end", position.configEnd.offset)
            .add("backends_end_from", m_followed.backendsEnd.offset)
            .add("backends_end", position.backendsEnd.offset)
            .warn();
    }
    m_followed = position;
    m_memberRegistry.recordStoreRestored();
}

void control_plane::recordStoreAvailability(bool available, const char *part)
{
    if (available != m_storeAvailable) {
        log_line(available ? "store_regained" : "store_lost")
            .add("address", toString(m_settings.storeAddress))
            .add("part", part)
            .warn();
    }
    m_storeAvailable = available;
}

void control_plane::handleHeartbeat(const heartbeat_message &heartbeat)
{
    if (detectPause()) {
        // This heartbeat was queued during the pause like the dropped ones, and would make a stale view look current.
        return;
    }
    const time_point now = steady::now();
    m_zoneLoads.handle(heartbeat);
    const fleet_state::heartbeat_result result = m_state.applyHeartbeat(heartbeat, now);
    recordEra(heartbeat.sender.name);
    if (result.shouldRequestView && m_pendingViewRequests == 0) {
        const auto pendingGuard = std::make_shared<count_guard<unsigned>>(m_pendingViewRequests);
        startTask(m_context, "view_question", [this, heartbeat, freshAt = result.announcedFreshAt, pendingGuard] {
            return requestViewFromPeer(heartbeat, freshAt);
        });
    }
    if (result.evacuationsChanged) {
        publishNews(heartbeat.sender.name);
    }
    if (result.viewChanged) {
        log_line("view_changed")
            .add("source", heartbeat.sender.name)
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", textOf(m_state.position().lastBackendChange))
            .add("age_ms", heartbeat.viewAge->count())
            .info();
        publish();
    }
    if (result.laterIncarnation) {
        heartbeat_message correction = m_state.basicHeartbeat(now);
        correction.gossipedMembers = {{*result.laterIncarnation, milliseconds(0)}};
        m_transport.sendHeartbeat(correction, {heartbeat.sender.host});
    }
    if (!result.memberChanged) {
        return;
    }
    log_line("member_heard")
        .add("member", heartbeat.sender.name)
        .add("ready", heartbeat.sender.ready ? "true" : "false")
        .add("born_ms", heartbeat.sender.startUnixMs)
        .info();
    if (!heartbeat.viewAge || !m_state.members().isLarge()) {
        // Responds at once, so that a new member need not wait for the next heartbeat.
        m_transport.sendHeartbeat(m_state.basicHeartbeat(now), {heartbeat.sender.host});
    }
    publish();
}

void control_plane::handleViewUpdate(const view_update &update)
{
    m_updateRelay.broadcast(update, splitEvenly(update.relayHosts));
    const bool changed = m_state.applyViewUpdate(update, decodeUpdatedConfig(update.changes), steady::now());
    recordEra("relay");
    if (changed) {
        log_line("view_changed")
            .add("source", "relay")
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", textOf(m_state.position().lastBackendChange))
            .info();
        publishNews("relay");
    }
}

std::optional<config_source> control_plane::decodeUpdatedConfig(const view_response &changes)
{
    if (!changes.config) {
        return std::nullopt;
    }
    auto text = decodeOrLog(
        "config_change_rejected", platform::configKey, [&] { return m_state.restoreConfig(*changes.config); });
    if (!text || !*text) {
        return std::nullopt;
    }
    auto config = decodeOrLog("record_rejected", platform::configKey, [&] { return platform::decodeConfig(**text); });
    if (!config) {
        return std::nullopt;
    }
    return config_source{std::move(*config), std::move(**text)};
}

asio::awaitable<void> control_plane::requestViewFromPeer(heartbeat_message heartbeat,
                                                         std::optional<time_point> announcedFreshAt)
{
    if (heartbeat.relayed) {
        const double jitterMs = randomUnit(m_random) * static_cast<double>(relayJitter.count());
        co_await sleepUntil(steady::now() + relayTimeout + milliseconds(static_cast<milliseconds::rep>(jitterMs)));
        if (m_state.isUpToDateWith(heartbeat.position)) {
            co_return;
        }
    }
    const view_request request = m_state.makeViewRequest();
    const auto response = co_await m_transport.requestView(heartbeat.sender.host, request);
    if (!response) {
        co_return;
    }
    std::optional<config_source> config = decodeUpdatedConfig(*response);
    const bool wasReady = m_state.members().self().ready;
    if (m_state.applyViewResponse(*response, std::move(config), announcedFreshAt, steady::now())) {
        log_line("view_changed")
            .add("source", heartbeat.sender.name)
            .add("config_from", request.position.configVersion)
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", textOf(m_state.position().lastBackendChange))
            .add("age_ms", heartbeat.viewAge->count())
            .info();
    }
    recordEra(heartbeat.sender.name);
    if (m_state.members().self().ready != wasReady) {
        announceReady();
    }
    publishNews(heartbeat.sender.name);
}

void control_plane::announceReady()
{
    if (m_state.members().isLarge()) {
        // With about a hundred entries that start together, broadcasts would delay the start of all of them.
        sendHeartbeat();
        return;
    }
    // Peers direct callers to this entry as soon as they have received this.
    sendToAllPeers(m_state.basicHeartbeat(steady::now()));
}

void control_plane::sendToAllPeers(const heartbeat_message &heartbeat)
{
    std::vector<std::string> hosts;
    for (const fleet_member &peer : m_state.members().peers()) {
        hosts.push_back(peer.host);
    }
    m_transport.sendHeartbeat(heartbeat, hosts);
}

void control_plane::sendHeartbeat()
{
    const time_point now = steady::now();
    std::vector<std::string> sameZoneHosts;
    std::vector<std::string> crossZoneHosts;
    for (const fleet_member &peer : m_state.members().heartbeatTargets(now, m_random)) {
        (peer.zone == m_settings.zone ? sameZoneHosts : crossZoneHosts).push_back(peer.host);
    }
    if (sameZoneHosts.empty() && crossZoneHosts.empty()) {
        sameZoneHosts = m_settings.seedHosts;
        std::erase(sameZoneHosts, m_settings.host);
    }
    m_transport.sendHeartbeat(m_zoneLoads.withLoads(m_state.heartbeat(now), false), sameZoneHosts);
    if (!crossZoneHosts.empty()) {
        m_transport.sendHeartbeat(m_zoneLoads.withLoads(m_state.crossZoneHeartbeat(now), true), crossZoneHosts);
    }
}

asio::awaitable<void> control_plane::heartbeatLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + heartbeatPeriod);
        detectPause();
        m_state.expire(steady::now());
        if (m_state.nextRead(steady::now()) < m_readTimer.expiry()) {
            // Members that rank before this entry are gone, so its reads are due sooner.
            m_readTimer.cancel();
        }
        sendHeartbeat();
        publishNews("expiry");
    }
}

bool control_plane::detectPause()
{
    const time_point now = steady::now();
    const nanoseconds paused = m_pauseDetector.poll(now);
    if (paused == nanoseconds(0)) {
        return false;
    }
    const std::size_t dropped = m_transport.dropQueuedDatagrams();
    log_line("resumed").add("paused_ms", toMilliseconds(paused)).add("datagrams_dropped", dropped).warn();
    m_state.recordProcessResumed(now);
    m_readTimer.cancel();
    return true;
}

bool control_plane::isViewPossiblyStale()
{
    detectPause();
    return m_state.isPossiblyStale(steady::now());
}

void control_plane::publish()
{
    fleet_view_ptr view = m_state.view(steady::now());
    if (m_publishedView && *m_publishedView == *view) {
        return;
    }
    m_publishedView = view;
    m_publishView(view);
}

void control_plane::publishNews(std::string_view source)
{
    m_evacuationLog.recordChanges(m_state.evacuations(), source);
    publish();
}

void control_plane::startShutdown()
{
    m_state.startShutdown();
    startTask(m_context, "withdrawal", [this] { return m_memberRegistry.deregister(); });
    sendToAllPeers(m_state.basicHeartbeat(steady::now()));
    publish();
}

void control_plane::onQuotaMessage(std::function<void(std::string_view, const std::string &)> handler)
{
    m_transport.onQuotaMessage([this, handle = std::move(handler)](std::string_view datagram, const std::string &host) {
        if (!detectPause()) {
            handle(datagram, host);
        }
    });
}

void control_plane::sendQuotaMessage(std::string_view datagram, const std::string &host)
{
    m_transport.sendDatagram(datagram, host);
}

const fleet_state &control_plane::state() const
{
    return m_state;
}

bool control_plane::isStoreAvailable() const
{
    return m_storeAvailable;
}

std::uint64_t control_plane::storeCalls() const
{
    return m_store.callCount();
}

}
