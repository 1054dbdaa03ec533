#include "fleetcontrol.h"

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
constexpr milliseconds peerPatience{25};

/** Time after which a starting entry reads the store also while a peer that has a view is being asked. */
constexpr milliseconds firstViewPatience{250};

/** First and longest pause between greetings of a starting entry; some hundred may greet the same seeds. */
constexpr milliseconds firstGreetingPause{10};
constexpr milliseconds longestGreetingPause{80};

/** Time for which relayed news are waited for before the sender is asked, and by which such questions are spread. */
constexpr milliseconds relayPatience{250};
constexpr milliseconds relaySpread{150};

fleet_member makeSelf(const platform::platform_settings &settings)
{
    fleet_member self{settings.vmName, settings.zone, settings.host, unixMilliseconds()};
    self.readCapacity = reportsPerSecond(settings.resources.cores, settings.resources.linkMbps);
    return self;
}

}

fleet_control::fleet_control(asio::io_context &context, const platform::platform_settings &settings, publisher publish)
    : m_context(context)
    , m_settings(settings)
    , m_publish(std::move(publish))
    , m_random(std::random_device()())
    , m_state(makeSelf(settings))
    , m_link(context, m_state)
    , m_relay(context, m_link)
    , m_store(context.get_executor(), settings.store)
    , m_reader(m_store, m_state)
    , m_directory(
          m_store,
          m_state,
          [this](bool available) { noteStore(available, "members"); },
          [this] { tellAll(m_state.notice(steady::now())); })
    , m_readTimer(context)
    , m_pauses(steady::now())
{
    m_link.onNotice([this](const peer_notice &notice) { hear(notice); });
    m_link.onPush([this](const view_push &push) { takeOver(push); });
}

result_code fleet_control::start()
{
    const result_code code = m_link.start(m_settings.host, m_settings.peerPort);
    if (code != result_code::ok) {
        return code;
    }
    startLoop(m_context, "reading", [this] { return readLoop(); });
    startLoop(m_context, "member_directory", [this] { return m_directory.run(); });
    startLoop(m_context, "heartbeat", [this] { return heartbeatLoop(); });
    return code;
}

asio::awaitable<void> fleet_control::learnFirstView()
{
    const time_point begun = steady::now();
    milliseconds pause = firstGreetingPause;
    while (!m_state.isComplete()) {
        const milliseconds patience = m_asking > 0 ? firstViewPatience : peerPatience;
        if (steady::now() >= begun + patience) {
            co_await readStore();
            co_return;
        }
        sendHeartbeat();
        co_await sleepUntil(steady::now() + pause);
        pause = std::min(pause * 2, longestGreetingPause);
    }
}

asio::awaitable<void> fleet_control::readLoop()
{
    co_await learnFirstView();
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

asio::awaitable<void> fleet_control::readStore()
{
    store_reading reading;
    reading.startedAt = steady::now();
    const time_point deadline = reading.startedAt + readTimeout;
    const view_position before = m_state.position();
    const bool first = !m_state.isComplete();
    co_await m_reader.read(reading, deadline);
    const bool complete = reading.configRead && reading.backendsRead;
    noteStore(complete,
              reading.configRead == reading.backendsRead ? "all"
              : reading.configRead                       ? "backends"
                                                         : "config");
    const bool changed = m_state.applyReading(reading, steady::now());
    if (changed) {
        const view_position position = m_state.position();
        log_line("view_changed")
            .add("source", "store")
            .add("config_from", before.configVersion)
            .add("config", position.configVersion)
            .add("backends_changed_at", position.backendsChangedAt)
            .info();
        publish();
    }
    if (!complete && !changed) {
        co_return;
    }
    if (first) {
        tellOfStart();
        co_return;
    }
    const time_point now = steady::now();
    peer_notice news = m_state.news(before, now);
    if (const auto push = m_state.push(before, now)) {
        news.relayed = true;
        m_relay.spread(*push, relayGroups(m_state.members().alive(now), m_state.members().self()));
    }
    tellAll(news);
}

void fleet_control::noteStore(bool available, const char *part)
{
    if (available != m_storeAvailable) {
        log_line(available ? "store_regained" : "store_lost")
            .add("address", toString(m_settings.store))
            .add("part", part)
            .warn();
    }
    m_storeAvailable = available;
}

void fleet_control::hear(const peer_notice &notice)
{
    if (checkPause()) {
        // It has waited like those that were dropped, and would make an old view look fresh.
        return;
    }
    const time_point now = steady::now();
    const fleet_state::hearing heard = m_state.hear(notice, now);
    if (heard.ask && m_asking == 0) {
        const auto asking = std::make_shared<count_guard<unsigned>>(m_asking);
        startTask(m_context, "view_question", [this, notice, asking] { return askPeer(notice); });
    }
    if (heard.viewChanged) {
        log_line("view_changed")
            .add("source", notice.sender.name)
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", m_state.position().backendsChangedAt)
            .add("age_ms", notice.age->count())
            .info();
        publish();
    }
    if (heard.laterSender) {
        peer_notice correction = m_state.notice(now);
        correction.sightings = {{*heard.laterSender, milliseconds(0)}};
        m_link.send(correction, {notice.sender.host});
    }
    if (!heard.memberChanged) {
        return;
    }
    log_line("member_heard")
        .add("member", notice.sender.name)
        .add("ready", notice.sender.ready ? "true" : "false")
        .add("born_ms", notice.sender.bornMs)
        .info();
    if (!notice.age || !m_state.members().isLarge()) {
        // A newcomer should not have to wait for the next heartbeat.
        m_link.send(m_state.notice(now), {notice.sender.host});
    }
    publish();
}

void fleet_control::takeOver(const view_push &push)
{
    m_relay.spread(push, splitEvenly(push.hosts));
    if (m_state.applyPush(push, receiveConfig(push.news), steady::now())) {
        log_line("view_changed")
            .add("source", "relay")
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", m_state.position().backendsChangedAt)
            .info();
        publish();
    }
}

std::optional<config_source> fleet_control::receiveConfig(const view_answer &news)
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

asio::awaitable<void> fleet_control::askPeer(peer_notice notice)
{
    if (notice.relayed) {
        const double spread = randomUnit(m_random) * static_cast<double>(relaySpread.count());
        co_await sleepUntil(steady::now() + relayPatience + milliseconds(static_cast<milliseconds::rep>(spread)));
        if (m_state.knows(notice.position)) {
            co_return;
        }
    }
    const time_point askedAt = steady::now();
    const view_question question = m_state.question();
    const auto answer = co_await m_link.ask(notice.sender.host, question);
    if (!answer) {
        co_return;
    }
    std::optional<config_source> config = receiveConfig(*answer);
    const bool readyBefore = m_state.members().self().ready;
    if (m_state.applyAnswer(*answer, std::move(config), notice.age, askedAt, steady::now())) {
        log_line("view_changed")
            .add("source", notice.sender.name)
            .add("config_from", question.position.configVersion)
            .add("config", m_state.position().configVersion)
            .add("backends_changed_at", m_state.position().backendsChangedAt)
            .add("age_ms", notice.age->count())
            .info();
    }
    if (m_state.members().self().ready != readyBefore) {
        tellOfStart();
    }
    publish();
}

void fleet_control::tellOfStart()
{
    if (m_state.members().isLarge()) {
        // Some hundred entries that start together would spend their first moments on each other's messages.
        sendHeartbeat();
        return;
    }
    // Callers are sent here as soon as the peers know.
    tellAll(m_state.notice(steady::now()));
}

void fleet_control::tellAll(const peer_notice &notice)
{
    std::vector<std::string> hosts;
    for (const fleet_member &peer : m_state.members().peers()) {
        hosts.push_back(peer.host);
    }
    m_link.send(notice, hosts);
}

void fleet_control::sendHeartbeat()
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
    m_link.send(m_state.heartbeat(now), near);
    if (!far.empty()) {
        m_link.send(m_state.farHeartbeat(now), far);
    }
}

asio::awaitable<void> fleet_control::heartbeatLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + heartbeatPeriod);
        checkPause();
        m_state.expire(steady::now());
        if (m_state.nextRead(steady::now()) < m_readTimer.expiry()) {
            // Entries before this one have gone, and its reads are due sooner.
            m_readTimer.cancel();
        }
        sendHeartbeat();
        publish();
    }
}

bool fleet_control::checkPause()
{
    const time_point now = steady::now();
    const nanoseconds paused = m_pauses.look(now);
    if (paused == nanoseconds(0)) {
        return false;
    }
    const std::size_t dropped = m_link.dropQueued();
    log_line("resumed").add("paused_ms", toMilliseconds(paused)).add("datagrams_dropped", dropped).warn();
    m_state.notePaused(now);
    m_readTimer.cancel();
    return true;
}

bool fleet_control::isViewSuspect()
{
    checkPause();
    return m_state.isSuspect(steady::now());
}

void fleet_control::publish()
{
    fleet_view_ptr view = m_state.view(steady::now());
    if (m_published && *m_published == *view) {
        return;
    }
    m_published = view;
    m_publish(view);
}

void fleet_control::startLeaving()
{
    m_state.startLeaving();
    startTask(m_context, "withdrawal", [this] { return m_directory.withdraw(); });
    tellAll(m_state.notice(steady::now()));
    publish();
}

const fleet_state &fleet_control::state() const
{
    return m_state;
}

bool fleet_control::storeAvailable() const
{
    return m_storeAvailable;
}

std::uint64_t fleet_control::storeCalls() const
{
    return m_store.calls();
}

}
