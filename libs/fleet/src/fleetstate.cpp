#include "cardamomdeck/fleet/fleetstate.h"

#include <algorithm>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Members and changes in one datagram of at most 1400 bytes; one takes some 60 and 150 bytes. */
constexpr std::size_t sightingsPerHeartbeat = 20;
/** A zone of some 40 members in one datagram, which is sent rarely. */
constexpr std::size_t sightingsToOtherZones = 40;
constexpr std::size_t changesPerNotice = 6;

/** Shortest time between two questions for members that a peer knows and this entry does not. */
constexpr milliseconds membersAskPause{2000};

}

fleet_state::fleet_state(fleet_member self)
    : m_members(std::move(self))
{
}

bool fleet_state::installConfig(config_source source)
{
    if (source.config.version <= m_config->version) {
        return false;
    }
    m_configTexts.add(source.config.version, std::move(source.text));
    m_config = std::make_shared<traffic_config>(std::move(source.config));
    m_wholeConfigWanted = false;
    return true;
}

void fleet_state::updateReadiness()
{
    const bool backendsKnown = m_complete || m_backends.end() > 0;
    if (m_config->version > 0 && backendsKnown) {
        m_members.setReady();
    }
}

void fleet_state::noteFresh(time_point at, time_point now)
{
    if (m_complete && at - m_schedule.freshAt() > outageAge) {
        m_backends.noteStoreReturned(now);
    }
    m_schedule.noteFresh(at);
    m_complete = true;
}

bool fleet_state::applyReading(const store_reading &reading, time_point now)
{
    if (reading.configRead && reading.backendsRead) {
        noteFresh(reading.startedAt, now);
        m_schedule.noteSuccess();
    } else {
        m_failedReadAt = reading.startedAt;
        m_schedule.noteFailure(now);
    }
    bool changed = false;
    if (reading.config) {
        changed = installConfig(*reading.config);
    }
    if (reading.configRead) {
        m_configEnd = std::max(m_configEnd, reading.configEnd);
    }
    // Reports that were read before a later call failed hold, but do not make the view fresh.
    const bool usable = reading.backendsRead || !reading.completeListing;
    changed = (usable && applyBackends(reading, now)) || changed;
    updateReadiness();
    return changed;
}

bool fleet_state::applyBackends(const store_reading &reading, time_point now)
{
    if (reading.completeListing) {
        return m_backends.replaceAll(reading.backends, reading.backendsEnd, now);
    }
    bool changed = false;
    for (const backend_record &record : reading.backends) {
        changed = m_backends.apply(record, now) || changed;
    }
    m_backends.advanceTo(reading.backendsEnd);
    return changed;
}

bool fleet_state::knows(const view_position &position) const
{
    return m_complete && m_config->version >= position.configVersion && m_backends.knows(position.backendsChangedAt);
}

bool fleet_state::mayStartFrom(milliseconds age) const
{
    return m_complete || m_failedReadAt || age <= outageAge;
}

fleet_state::hearing fleet_state::hear(const peer_notice &notice, time_point now)
{
    hearing result;
    result.laterSender = m_members.laterIncarnation(notice.sender);
    result.memberChanged = m_members.heard(notice.sender, now);
    for (const member_sighting &sighting : notice.sightings) {
        m_members.sighted(sighting.member, now - sighting.age, now);
    }
    if (!notice.age || !mayStartFrom(*notice.age)) {
        return result;
    }
    if (m_complete && notice.changes && m_backends.knows(notice.changes->after)) {
        for (const backend_record &record : notice.changes->records) {
            result.viewChanged = m_backends.apply(record, now) || result.viewChanged;
        }
    }
    const bool unknown = !knows(notice.position);
    const bool newConfig = notice.position.configVersion > m_config->version;
    // Mostly nothing is new in a listing; the entry's own reads, and those of others, go past its position soon.
    const bool onlyListed = m_complete && notice.listed && !newConfig;
    if (unknown && !onlyListed) {
        m_awaited = {notice.position, now - *notice.age};
        result.ask = true;
        return result;
    }
    const bool lacksMembers = notice.liveMembers > m_members.countAlive(now) && now >= m_askMembersAfter;
    if (lacksMembers) {
        m_askMembersAfter = now + membersAskPause;
    }
    result.ask = !m_introduced || lacksMembers;
    if (unknown) {
        return result;
    }
    noteFresh(now - *notice.age, now);
    m_configEnd = std::max(m_configEnd, notice.position.configEnd);
    m_backends.advanceTo(notice.position.backendsEnd);
    updateReadiness();
    return result;
}

void fleet_state::noteAwaited(time_point now)
{
    if (!m_awaited || !knows(m_awaited->position)) {
        return;
    }
    noteFresh(m_awaited->freshAt, now);
    m_configEnd = std::max(m_configEnd, m_awaited->position.configEnd);
    m_backends.advanceTo(m_awaited->position.backendsEnd);
    m_awaited.reset();
}

bool fleet_state::applyPush(const view_push &push, std::optional<config_source> config, time_point now)
{
    bool changed = false;
    if (config) {
        changed = installConfig(std::move(*config));
    }
    // With a gap before them, the records would pass for everything up to their position.
    if (m_complete && m_backends.knows(push.after.backendsChangedAt)) {
        for (const backend_record &record : push.news.backends) {
            changed = m_backends.apply(record, now) || changed;
        }
    }
    noteAwaited(now);
    updateReadiness();
    return changed;
}

bool fleet_state::applyAnswer(const view_answer &answer,
                              std::optional<config_source> config,
                              std::optional<milliseconds> age,
                              time_point askedAt,
                              time_point now)
{
    for (const fleet_member &member : answer.members) {
        m_members.learned(member, now);
    }
    m_introduced = m_introduced || !answer.members.empty();
    if (age) {
        noteFresh(askedAt - *age, now);
    }
    bool changed = false;
    if (config) {
        changed = installConfig(std::move(*config));
    }
    for (const backend_record &record : answer.backends) {
        changed = m_backends.apply(record, now) || changed;
    }
    if (age) {
        m_configEnd = std::max(m_configEnd, answer.position.configEnd);
        m_backends.advanceTo(answer.position.backendsEnd);
    }
    noteAwaited(now);
    updateReadiness();
    return changed;
}

view_question fleet_state::question() const
{
    view_question question{position()};
    if (m_wholeConfigWanted) {
        question.position.configVersion = 0;
    }
    return question;
}

leaf::result<std::optional<std::string>> fleet_state::restoreConfig(const config_transfer &transfer)
{
    if (transfer.version <= m_config->version) {
        return std::optional<std::string>();
    }
    leaf::result<std::string> text = m_configTexts.restore(transfer);
    if (!text) {
        m_wholeConfigWanted = true;
        return text.error();
    }
    return std::optional<std::string>(std::move(*text));
}

view_answer fleet_state::answer(const view_question &question, time_point now)
{
    view_answer answer;
    answer.position = position();
    if (m_config->version > question.position.configVersion) {
        answer.config = m_configTexts.transferFrom(question.position.configVersion);
    }
    answer.backends = m_backends.since(std::max(question.position.backendsChangedAt, question.position.backendsEnd));
    answer.members = m_members.alive(now);
    return answer;
}

peer_notice fleet_state::notice(time_point now) const
{
    peer_notice notice;
    notice.sender = m_members.self();
    notice.position = position();
    notice.listed = m_backends.isListed();
    notice.liveMembers = m_members.countAlive(now);
    if (m_complete) {
        notice.age = std::chrono::ceil<milliseconds>(now - m_schedule.freshAt());
    }
    return notice;
}

peer_notice fleet_state::heartbeat(time_point now)
{
    peer_notice beat = notice(now);
    beat.sightings = m_members.sightings(sightingsPerHeartbeat, now);
    return beat;
}

peer_notice fleet_state::farHeartbeat(time_point now)
{
    peer_notice beat = notice(now);
    beat.sightings = m_members.zoneSightings(sightingsToOtherZones, now);
    return beat;
}

bool fleet_state::fitsNotice(const std::vector<backend_record> &records) const
{
    return records.size() <= changesPerNotice;
}

peer_notice fleet_state::news(const view_position &before, time_point now) const
{
    peer_notice news = notice(now);
    std::vector<backend_record> records = m_backends.since(before.backendsChangedAt + 1);
    if (!records.empty() && fitsNotice(records)) {
        news.changes = {before.backendsChangedAt, std::move(records)};
    }
    return news;
}

std::optional<view_push> fleet_state::push(const view_position &before, time_point now)
{
    if (before == view_position()) {
        // The first view of an entry is no news to others.
        return std::nullopt;
    }
    const bool newConfig = m_config->version > before.configVersion;
    const bool fits = !newConfig && fitsNotice(m_backends.since(before.backendsChangedAt + 1));
    if (fits || !m_members.isLarge()) {
        return std::nullopt;
    }
    view_push push{before, answer({before}, now), {}};
    push.news.members.clear();
    return push;
}

bool fleet_state::expire(time_point now)
{
    m_members.expire(now);
    return m_backends.expireLapsed(now);
}

void fleet_state::notePaused(time_point now)
{
    m_schedule.distrust(now);
    m_resumedAt = now;
    m_awaited.reset();
}

bool fleet_state::isSuspect(time_point now) const
{
    const bool confirmed = std::max(m_schedule.freshAt(), m_failedReadAt.value_or(time_point::min())) >= m_resumedAt;
    return m_complete && !confirmed && now < m_resumedAt + suspicionTime;
}

void fleet_state::startLeaving()
{
    m_members.startLeaving();
}

time_point fleet_state::nextRead(time_point now) const
{
    return m_schedule.nextRead(m_members.rank(now), m_members.countAlive(now));
}

time_point fleet_state::freshAt() const
{
    return m_schedule.freshAt();
}

view_position fleet_state::position() const
{
    return {m_config->version, m_configEnd, m_backends.changedAt(), m_backends.end()};
}

bool fleet_state::isComplete() const
{
    return m_complete;
}

void fleet_state::noteIntroduced()
{
    m_introduced = true;
}

bool fleet_state::isIntroduced() const
{
    return m_introduced;
}

fleet_view_ptr fleet_state::view(time_point now) const
{
    auto view = std::make_shared<fleet_view>();
    view->config = m_config;
    view->backends = m_backends.usable();
    view->ready = m_members.self().ready;
    view->readyMembers = m_members.ready(now);
    view->liveMembers = m_members.countAlive(now);
    return view;
}

member_table &fleet_state::members()
{
    return m_members;
}

const member_table &fleet_state::members() const
{
    return m_members;
}

}
