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

/** Period of heartbeats; a quarter of the silence after which a member counts as down. */
constexpr milliseconds heartbeatPeriod{400};

/** Longest time for reading the store; a listing of 11,000 servers takes 22 calls. */
constexpr milliseconds readTimeout{5000};

/**
 * Time for which a starting entry waits for a peer that has a view; an answer from another zone takes some 5 ms, and
 * longer on a small VM that is busy.
 */
constexpr milliseconds peerViewTimeout{25};

/** Time after which a starting entry reads the store also while a peer that has a view is being asked. */
constexpr milliseconds pendingViewTimeout{250};

/** First and longest pause between greetings of a starting entry; some hundred may greet the same seeds. */
constexpr milliseconds minJoinRetryDelay{10};
constexpr milliseconds maxJoinRetryDelay{80};

/** Time for which relayed news are waited for before the sender is asked, and by which such questions are spread. */
constexpr milliseconds relayTimeout{250};
constexpr milliseconds relayJitter{150};

fleet_member makeLocalMember(const platform::platform_settings &settings)
{
    fleet_member self{settings.vmName, settings.zone, settings.host, unixMilliseconds()};
    self.readCapacity = estimateReadCapacity(settings.resources.cores, settings.resources.linkMbps);
    return self;
}

}

control_plane::control_plane(asio::io_context &context,
                             const platform::platform_settings &settings,
                             view_publisher publish)
    : m_context(context)
    , m_settings(settings)
    , m_publishView(std::move(publish))
    , m_random(std::random_device()())
    , m_state(makeLocalMember(settings))
    , m_transport(context, m_state)
    , m_updateRelay(context, m_transport)
    , m_store(context.get_executor(), settings.storeAddress)
    , m_storeReader(m_store, m_state)
    , m_memberRegistry(
          m_store,
          m_state,
          [this](bool available) { recordStoreAvailability(available, "members"); },
          [this] { sendToAllPeers(m_state.basicHeartbeat(steady::now())); })
    , m_readTimer(context)
    , m_pauseDetector(steady::now())
{
    m_transport.onHeartbeat([this](const heartbeat_message &notice) { handleHeartbeat(notice); });
    m_transport.onViewUpdate([this](const view_update &push) { handleViewUpdate(push); });
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
    const time_point begun = steady::now();
    milliseconds pause = minJoinRetryDelay;
    while (!m_state.isComplete()) {
        const milliseconds patience = m_pendingViewRequests > 0 ? pendingViewTimeout : peerViewTimeout;
        if (steady::now() >= begun + patience) {
            co_await readStore();
            co_return;
        }
        sendHeartbeat();
        co_await sleepUntil(steady::now() + pause);
        pause = std::min(pause * 2, maxJoinRetryDelay);
    }
}

asio::awaitable<void> control_plane::storeReadLoop()
{
    co_await loadInitialView();
    for (;;) {
        const time_point due = m_state.nextRead(steady::now());
        if (due <= steady::now()) {
            co_await readStore();
            continue;
        }
        m_readTimer.expires_at(due);
        co_await m_readTimer.async_wait(asTuple);
    }
}

asio::awaitable<void> control_plane::readStore()
{
    store_read_result reading;
    reading.startedAt = steady::now();
    const time_point deadline = reading.startedAt + readTimeout;
    const view_position before = m_state.position();
    const bool first = !m_state.isComplete();
    co_await m_storeReader.read(reading, deadline);
    const bool complete = reading.configRead && reading.backendsRead;
    recordStoreAvailability(complete,
                            reading.configRead == reading.backendsRead ? "all"
                            : reading.configRead                       ? "backends"
                                                                       : "config");
    const bool changed = m_state.applyStoreRead(reading, steady::now());
    if (changed) {
        const view_position position = m_state.position();
        log_line("view_changed")
            .add("source", "store")
            .add("config_from", before.configVersion)
            .add("config", position.configVersion)
            .add("backends_changed_at", position.lastBackendChangeOffset)
            .info();
        publish();
    }
    if (!complete && !changed) {
        co_return;
    }
    if (first) {
        announceReady();
        co_return;
    }
    const time_point now = steady::now();
    heartbeat_message news = m_state.heartbeatWithChanges(before, now);
    if (const auto push = m_state.makeViewUpdate(before, now)) {
        news.relayed = true;
        m_updateRelay.broadcast(*push, relayGroups(m_state.members().alive(now), m_state.members().self()));
    }
    sendToAllPeers(news);
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

void control_plane::handleHeartbeat(const heartbeat_message &notice)
{
    if (detectPause()) {
        // It has waited like those that were dropped, and would make an old view look fresh.
        return;
    }
    const time_point now = steady::now();
    const fleet_state::heartbeat_result heard = m_state.applyHeartbeat(notice, now);
    if (heard.shouldRequestView && m_pendingViewRequests == 0) {
        const auto asking = std::make_shared<count_guard<unsigned>>(m_pendingViewRequests);
        startTask(m_context, "view_question", [this, notice, asking] { return requestViewFromPeer(notice); });
    }
    if (heard.viewChanged) {
        log_line("view_changed")
            .add("source", notice.sender.name)
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", m_state.position().lastBackendChangeOffset)
            .add("age_ms", notice.viewAge->count())
            .info();
        publish();
    }
    if (heard.laterIncarnation) {
        heartbeat_message correction = m_state.basicHeartbeat(now);
        correction.gossipedMembers = {{*heard.laterIncarnation, milliseconds(0)}};
        m_transport.sendHeartbeat(correction, {notice.sender.host});
    }
    if (!heard.memberChanged) {
        return;
    }
    log_line("member_heard")
        .add("member", notice.sender.name)
        .add("ready", notice.sender.ready ? "true" : "false")
        .add("born_ms", notice.sender.startUnixMs)
        .info();
    if (!notice.viewAge || !m_state.members().isLarge()) {
        // A newcomer should not have to wait for the next heartbeat.
        m_transport.sendHeartbeat(m_state.basicHeartbeat(now), {notice.sender.host});
    }
    publish();
}

void control_plane::handleViewUpdate(const view_update &push)
{
    m_updateRelay.broadcast(push, splitEvenly(push.relayHosts));
    if (m_state.applyViewUpdate(push, decodeUpdatedConfig(push.changes), steady::now())) {
        log_line("view_changed")
            .add("source", "relay")
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", m_state.position().lastBackendChangeOffset)
            .info();
        publish();
    }
}

std::optional<config_source> control_plane::decodeUpdatedConfig(const view_response &news)
{
    if (!news.config) {
        return std::nullopt;
    }
    auto text = decodeOrLog(
        "config_change_rejected", platform::configKey, [&] { return m_state.restoreConfig(*news.config); });
    if (!text || !*text) {
        return std::nullopt;
    }
    auto config = decodeOrLog("record_rejected", platform::configKey, [&] { return platform::decodeConfig(**text); });
    if (!config) {
        return std::nullopt;
    }
    return config_source{std::move(*config), std::move(**text)};
}

asio::awaitable<void> control_plane::requestViewFromPeer(heartbeat_message notice)
{
    if (notice.relayed) {
        const double spread = randomUnit(m_random) * static_cast<double>(relayJitter.count());
        co_await sleepUntil(steady::now() + relayTimeout + milliseconds(static_cast<milliseconds::rep>(spread)));
        if (m_state.isUpToDateWith(notice.position)) {
            co_return;
        }
    }
    const time_point askedAt = steady::now();
    const view_request question = m_state.makeViewRequest();
    const auto answer = co_await m_transport.requestView(notice.sender.host, question);
    if (!answer) {
        co_return;
    }
    std::optional<config_source> config = decodeUpdatedConfig(*answer);
    const bool readyBefore = m_state.members().self().ready;
    if (m_state.applyViewResponse(*answer, std::move(config), notice.viewAge, askedAt, steady::now())) {
        log_line("view_changed")
            .add("source", notice.sender.name)
            .add("config_from", question.position.configVersion)
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", m_state.position().lastBackendChangeOffset)
            .add("age_ms", notice.viewAge->count())
            .info();
    }
    if (m_state.members().self().ready != readyBefore) {
        announceReady();
    }
    publish();
}

void control_plane::announceReady()
{
    if (m_state.members().isLarge()) {
        // Some hundred entries that start together would spend their first moments on each other's messages.
        sendHeartbeat();
        return;
    }
    // Callers are sent here as soon as the peers know.
    sendToAllPeers(m_state.basicHeartbeat(steady::now()));
}

void control_plane::sendToAllPeers(const heartbeat_message &notice)
{
    std::vector<std::string> hosts;
    for (const fleet_member &peer : m_state.members().peers()) {
        hosts.push_back(peer.host);
    }
    m_transport.sendHeartbeat(notice, hosts);
}

void control_plane::sendHeartbeat()
{
    const time_point now = steady::now();
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const fleet_member &peer : m_state.members().heartbeatTargets(now, m_random)) {
        (peer.zone == m_settings.zone ? near : far).push_back(peer.host);
    }
    if (near.empty() && far.empty()) {
        near = m_settings.seedHosts;
        std::erase(near, m_settings.host);
    }
    m_transport.sendHeartbeat(m_state.heartbeat(now), near);
    if (!far.empty()) {
        m_transport.sendHeartbeat(m_state.crossZoneHeartbeat(now), far);
    }
}

asio::awaitable<void> control_plane::heartbeatLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + heartbeatPeriod);
        detectPause();
        m_state.expire(steady::now());
        if (m_state.nextRead(steady::now()) < m_readTimer.expiry()) {
            // Entries before this one have gone, and its reads are due sooner.
            m_readTimer.cancel();
        }
        sendHeartbeat();
        publish();
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
    m_state.noteProcessResumed(now);
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

void control_plane::startShutdown()
{
    m_state.startShutdown();
    startTask(m_context, "withdrawal", [this] { return m_memberRegistry.deregister(); });
    sendToAllPeers(m_state.basicHeartbeat(steady::now()));
    publish();
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
