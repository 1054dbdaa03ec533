#include "cardamomdeck/fleet/fleetstate.h"

#include <algorithm>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Members and changes in one datagram of at most 1400 bytes; one takes some 60 and 150 bytes. */
constexpr std::size_t maxGossipedMembersPerHeartbeat = 20;
/** A zone of some 40 members in one datagram, which is sent rarely. */
constexpr std::size_t maxGossipedMembersPerCrossZoneHeartbeat = 40;
constexpr std::size_t maxChangesPerHeartbeat = 6;

/** Shortest time between two questions for members that a peer knows and this entry does not. */
constexpr milliseconds minMemberRequestInterval{2000};

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
    m_configHistory.add(source.config.version, std::move(source.text));
    m_config = std::make_shared<traffic_config>(std::move(source.config));
    m_fullConfigNeeded = false;
    return true;
}

void fleet_state::updateReadiness()
{
    const bool backendsKnown = m_complete || m_backends.endOffset() > 0;
    if (m_config->version > 0 && backendsKnown) {
        m_members.setReady();
    }
}

void fleet_state::noteFresh(time_point at, time_point now)
{
    if (m_complete && at - m_schedule.freshAt() > storeOutageThreshold) {
        m_backends.noteStoreAvailable(now);
    }
    m_schedule.noteFresh(at);
    m_complete = true;
}

bool fleet_state::applyStoreRead(const store_read_result &reading, time_point now)
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
        m_configEndOffset = std::max(m_configEndOffset, reading.configEndOffset);
    }
    // Reports that were read before a later call failed hold, but do not make the view fresh.
    const bool usable = reading.backendsRead || !reading.completeListing;
    changed = (usable && applyBackends(reading, now)) || changed;
    updateReadiness();
    return changed;
}

bool fleet_state::applyBackends(const store_read_result &reading, time_point now)
{
    if (reading.completeListing) {
        return m_backends.replaceAll(reading.backends, reading.backendsEndOffset, now);
    }
    bool changed = false;
    for (const backend_record &record : reading.backends) {
        changed = m_backends.apply(record, now) || changed;
    }
    m_backends.advanceTo(reading.backendsEndOffset);
    return changed;
}

bool fleet_state::isUpToDateWith(const view_position &position) const
{
    return m_complete && m_config->version >= position.configVersion
           && m_backends.isUpToDateWith(position.lastBackendChangeOffset);
}

bool fleet_state::canBootstrapFrom(milliseconds age) const
{
    return m_complete || m_failedReadAt || age <= storeOutageThreshold;
}

fleet_state::heartbeat_result fleet_state::applyHeartbeat(const heartbeat_message &notice, time_point now)
{
    heartbeat_result result;
    result.laterIncarnation = m_members.laterIncarnation(notice.sender);
    result.memberChanged = m_members.recordHeartbeat(notice.sender, now);
    for (const gossiped_member &sighting : notice.gossipedMembers) {
        m_members.recordGossip(sighting.member, now - sighting.age, now);
    }
    if (!notice.viewAge || !canBootstrapFrom(*notice.viewAge)) {
        return result;
    }
    if (m_complete && notice.changes && m_backends.isUpToDateWith(notice.changes->afterOffset)) {
        for (const backend_record &record : notice.changes->records) {
            result.viewChanged = m_backends.apply(record, now) || result.viewChanged;
        }
    }
    const bool unknown = !isUpToDateWith(notice.position);
    const bool newConfig = notice.position.configVersion > m_config->version;
    // Mostly nothing is new in a listing; the entry's own reads, and those of others, go past its position soon.
    const bool onlyListed = m_complete && notice.onlyInitialListing && !newConfig;
    if (unknown && !onlyListed) {
        m_announcedView = {notice.position, now - *notice.viewAge};
        result.shouldRequestView = true;
        return result;
    }
    const bool lacksMembers = notice.liveMembers > m_members.countAlive(now) && now >= m_nextMemberRequestAt;
    if (lacksMembers) {
        m_nextMemberRequestAt = now + minMemberRequestInterval;
    }
    result.shouldRequestView = !m_membershipKnown || lacksMembers;
    if (unknown) {
        return result;
    }
    noteFresh(now - *notice.viewAge, now);
    m_configEndOffset = std::max(m_configEndOffset, notice.position.configEndOffset);
    m_backends.advanceTo(notice.position.backendsEndOffset);
    updateReadiness();
    return result;
}

void fleet_state::confirmAnnouncedView(time_point now)
{
    if (!m_announcedView || !isUpToDateWith(m_announcedView->position)) {
        return;
    }
    noteFresh(m_announcedView->freshAt, now);
    m_configEndOffset = std::max(m_configEndOffset, m_announcedView->position.configEndOffset);
    m_backends.advanceTo(m_announcedView->position.backendsEndOffset);
    m_announcedView.reset();
}

bool fleet_state::applyViewUpdate(const view_update &push, std::optional<config_source> config, time_point now)
{
    bool changed = false;
    if (config) {
        changed = installConfig(std::move(*config));
    }
    // With a gap before them, the records would pass for everything up to their position.
    if (m_complete && m_backends.isUpToDateWith(push.basePosition.lastBackendChangeOffset)) {
        for (const backend_record &record : push.changes.backends) {
            changed = m_backends.apply(record, now) || changed;
        }
    }
    confirmAnnouncedView(now);
    updateReadiness();
    return changed;
}

bool fleet_state::applyViewResponse(const view_response &answer,
                                    std::optional<config_source> config,
                                    std::optional<milliseconds> age,
                                    time_point askedAt,
                                    time_point now)
{
    for (const fleet_member &member : answer.members) {
        m_members.recordDiscovered(member, now);
    }
    m_membershipKnown = m_membershipKnown || !answer.members.empty();
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
        m_configEndOffset = std::max(m_configEndOffset, answer.position.configEndOffset);
        m_backends.advanceTo(answer.position.backendsEndOffset);
    }
    confirmAnnouncedView(now);
    updateReadiness();
    return changed;
}

view_request fleet_state::makeViewRequest() const
{
    view_request question{position()};
    if (m_fullConfigNeeded) {
        question.position.configVersion = 0;
    }
    return question;
}

leaf::result<std::optional<std::string>> fleet_state::restoreConfig(const config_update &transfer)
{
    if (transfer.version <= m_config->version) {
        return std::optional<std::string>();
    }
    leaf::result<std::string> text = m_configHistory.restore(transfer);
    if (!text) {
        m_fullConfigNeeded = true;
        return text.error();
    }
    return std::optional<std::string>(std::move(*text));
}

view_response fleet_state::makeViewResponse(const view_request &question, time_point now)
{
    view_response answer;
    answer.position = position();
    if (m_config->version > question.position.configVersion) {
        answer.config = m_configHistory.updateFrom(question.position.configVersion);
    }
    answer.backends = m_backends.changesSince(
        std::max(question.position.lastBackendChangeOffset, question.position.backendsEndOffset));
    answer.members = m_members.alive(now);
    return answer;
}

heartbeat_message fleet_state::basicHeartbeat(time_point now) const
{
    heartbeat_message notice;
    notice.sender = m_members.self();
    notice.position = position();
    notice.onlyInitialListing = m_backends.hasOnlyInitialListing();
    notice.liveMembers = m_members.countAlive(now);
    if (m_complete) {
        notice.viewAge = std::chrono::ceil<milliseconds>(now - m_schedule.freshAt());
    }
    return notice;
}

heartbeat_message fleet_state::heartbeat(time_point now)
{
    heartbeat_message beat = basicHeartbeat(now);
    beat.gossipedMembers = m_members.nextGossipedMembers(maxGossipedMembersPerHeartbeat, now);
    return beat;
}

heartbeat_message fleet_state::crossZoneHeartbeat(time_point now)
{
    heartbeat_message beat = basicHeartbeat(now);
    beat.gossipedMembers = m_members.nextZoneGossipedMembers(maxGossipedMembersPerCrossZoneHeartbeat, now);
    return beat;
}

bool fleet_state::fitsHeartbeat(const std::vector<backend_record> &records) const
{
    return records.size() <= maxChangesPerHeartbeat;
}

heartbeat_message fleet_state::heartbeatWithChanges(const view_position &before, time_point now) const
{
    heartbeat_message news = basicHeartbeat(now);
    std::vector<backend_record> records = m_backends.changesSince(before.lastBackendChangeOffset + 1);
    if (!records.empty() && fitsHeartbeat(records)) {
        news.changes = {before.lastBackendChangeOffset, std::move(records)};
    }
    return news;
}

std::optional<view_update> fleet_state::makeViewUpdate(const view_position &before, time_point now)
{
    if (before == view_position()) {
        // The first view of an entry is no news to others.
        return std::nullopt;
    }
    const bool newConfig = m_config->version > before.configVersion;
    const bool fits = !newConfig && fitsHeartbeat(m_backends.changesSince(before.lastBackendChangeOffset + 1));
    if (fits || !m_members.isLarge()) {
        return std::nullopt;
    }
    view_update push{before, makeViewResponse({before}, now), {}};
    push.changes.members.clear();
    return push;
}

bool fleet_state::expire(time_point now)
{
    m_members.expire(now);
    return m_backends.endGracePeriods(now);
}

void fleet_state::noteProcessResumed(time_point now)
{
    m_schedule.invalidate(now);
    m_resumedAt = now;
    m_announcedView.reset();
}

bool fleet_state::isPossiblyStale(time_point now) const
{
    const bool confirmed = std::max(m_schedule.freshAt(), m_failedReadAt.value_or(time_point::min())) >= m_resumedAt;
    return m_complete && !confirmed && now < m_resumedAt + maxPossiblyStaleTime;
}

void fleet_state::startShutdown()
{
    m_members.startShutdown();
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
    return {m_config->version, m_configEndOffset, m_backends.lastChangeOffset(), m_backends.endOffset()};
}

bool fleet_state::isComplete() const
{
    return m_complete;
}

void fleet_state::noteMembershipKnown()
{
    m_membershipKnown = true;
}

bool fleet_state::hasMembership() const
{
    return m_membershipKnown;
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
