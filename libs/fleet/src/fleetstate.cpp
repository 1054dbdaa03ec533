#include "cardamomdeck/fleet/fleetstate.h"

#include <algorithm>
#include <set>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Limits for one datagram of at most 1400 bytes; a member takes about 60 bytes and a change about 150 bytes. */
constexpr std::size_t maxGossipedMembersPerHeartbeat = 20;
/** Fits a zone of about 40 members into one datagram, which is sent rarely. */
constexpr std::size_t maxGossipedMembersPerCrossZoneHeartbeat = 40;
constexpr std::size_t maxChangesPerHeartbeat = 6;

/** Minimum time between two view requests for members that a peer has and this entry lacks. */
constexpr milliseconds minMemberRequestInterval{2000};

/** The offset after @p offset, or the start of the topic. */
store_offset offsetAfter(std::optional<store_offset> offset)
{
    return offset ? *offset + 1 : 0;
}

std::set<std::string> warmupLimitedServices(const traffic_config &config)
{
    std::set<std::string> names;
    for (const auto &[name, profile] : config.services) {
        if (profile.warmupRequestsPerSecond > 0) {
            names.insert(name);
        }
    }
    return names;
}

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
    m_backends.setWarmupLimitedServices(warmupLimitedServices(*m_config));
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

void fleet_state::recordFresh(time_point at, time_point now)
{
    if (m_complete && at - m_schedule.freshAt() > storeOutageThreshold) {
        m_backends.recordStoreAvailable(now);
    }
    m_schedule.recordFresh(at);
    m_complete = true;
}

bool fleet_state::applyStoreRead(const store_read_result &readResult, time_point now)
{
    if (readResult.configRead && readResult.backendsRead) {
        recordFresh(readResult.startedAt, now);
        m_schedule.recordSuccess();
    } else {
        m_failedReadAt = readResult.startedAt;
        m_schedule.recordFailure(now);
    }
    bool changed = false;
    if (readResult.config) {
        changed = installConfig(*readResult.config);
    }
    if (readResult.configRead) {
        changed = applyEvacuations(readResult) || changed;
        m_configEndOffset = std::max(m_configEndOffset, readResult.configEndOffset);
    }
    // Records that were read before a later call failed are applied, but do not refresh the view.
    const bool applicable = readResult.backendsRead || !readResult.completeListing;
    changed = (applicable && applyBackends(readResult, now)) || changed;
    updateReadiness();
    return changed;
}

bool fleet_state::applyBackends(const store_read_result &readResult, time_point now)
{
    if (readResult.completeListing) {
        return m_backends.replaceAll(readResult.backends, readResult.backendsEndOffset, now);
    }
    bool changed = false;
    for (const backend_record &record : readResult.backends) {
        changed = m_backends.apply(record, now) || changed;
    }
    m_backends.advanceTo(readResult.backendsEndOffset);
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

fleet_state::heartbeat_result fleet_state::applyHeartbeat(const heartbeat_message &message, time_point now)
{
    heartbeat_result result;
    result.laterIncarnation = m_members.laterIncarnation(message.sender);
    result.memberChanged = m_members.recordHeartbeat(message.sender, now);
    for (const gossiped_member &gossiped : message.gossipedMembers) {
        m_members.recordGossip(gossiped.member, now - gossiped.age, now);
    }
    // Before the sender's view can make this one count as fresh.
    result.evacuationsChanged = applyPeerEvacuations(message.evacuations, message.position);
    if (message.viewAge) {
        result.announcedFreshAt = now - *message.viewAge;
    }
    if (!message.viewAge || !canBootstrapFrom(*message.viewAge)) {
        return result;
    }
    if (m_complete && message.changes && m_backends.isUpToDateWith(message.changes->afterOffset)) {
        for (const backend_record &record : message.changes->records) {
            result.viewChanged = m_backends.apply(record, now) || result.viewChanged;
        }
    }
    if (message.relayed) {
        m_relayEndsAt = now + relayTime;
    }
    const bool hasUnknownChanges = !isUpToDateWith(message.position);
    const bool newConfig = message.position.configVersion > m_config->version;
    // A later initial listing usually contains no change, and the next reads of this entry or its peers pass its
    // position soon.
    const bool isOnlyInitialListing = m_complete && message.onlyInitialListing && !newConfig;
    if (hasUnknownChanges && !isOnlyInitialListing) {
        m_announcedView = {message.position, now - *message.viewAge};
        result.shouldRequestView = true;
        return result;
    }
    const bool lacksMembers = message.liveMembers > m_members.countAlive(now) && now >= m_nextMemberRequestAt;
    if (lacksMembers) {
        m_nextMemberRequestAt = now + minMemberRequestInterval;
    }
    result.shouldRequestView = !m_membershipKnown || lacksMembers;
    if (hasUnknownChanges) {
        return result;
    }
    recordFresh(now - *message.viewAge, now);
    m_configEndOffset = std::max(m_configEndOffset, message.position.configEndOffset);
    m_backends.advanceTo(message.position.backendsEndOffset);
    updateReadiness();
    return result;
}

void fleet_state::confirmAnnouncedView(time_point now)
{
    if (!m_announcedView || !isUpToDateWith(m_announcedView->position)) {
        return;
    }
    recordFresh(m_announcedView->freshAt, now);
    m_configEndOffset = std::max(m_configEndOffset, m_announcedView->position.configEndOffset);
    m_backends.advanceTo(m_announcedView->position.backendsEndOffset);
    m_announcedView.reset();
}

bool fleet_state::applyViewUpdate(const view_update &update, std::optional<config_source> config, time_point now)
{
    bool changed = applyPeerEvacuations(update.changes.evacuations, update.changes.position);
    if (config) {
        changed = installConfig(std::move(*config)) || changed;
    }
    // If records before them are missing, applying these would mark the missing ones as received.
    if (m_complete && m_backends.isUpToDateWith(update.basePosition.lastBackendChangeOffset)) {
        for (const backend_record &record : update.changes.backends) {
            changed = m_backends.apply(record, now) || changed;
        }
    }
    confirmAnnouncedView(now);
    updateReadiness();
    return changed;
}

bool fleet_state::applyViewResponse(const view_response &response,
                                    std::optional<config_source> config,
                                    std::optional<time_point> freshAt,
                                    time_point now)
{
    for (const fleet_member &member : response.members) {
        m_members.recordDiscovered(member, now);
    }
    m_membershipKnown = m_membershipKnown || !response.members.empty();
    bool changed = applyPeerEvacuations(response.evacuations, response.position);
    if (freshAt) {
        recordFresh(*freshAt, now);
    }
    if (config) {
        changed = installConfig(std::move(*config)) || changed;
    }
    for (const backend_record &record : response.backends) {
        changed = m_backends.apply(record, now) || changed;
    }
    if (freshAt) {
        m_configEndOffset = std::max(m_configEndOffset, response.position.configEndOffset);
        m_backends.advanceTo(response.position.backendsEndOffset);
    }
    confirmAnnouncedView(now);
    updateReadiness();
    return changed;
}

view_request fleet_state::makeViewRequest() const
{
    view_request request{position()};
    if (m_fullConfigNeeded) {
        request.position.configVersion = 0;
    }
    return request;
}

leaf::result<std::optional<std::string>> fleet_state::restoreConfig(const config_update &configUpdate)
{
    if (configUpdate.version <= m_config->version) {
        return std::optional<std::string>();
    }
    leaf::result<std::string> text = m_configHistory.restore(configUpdate);
    if (!text) {
        m_fullConfigNeeded = true;
        return text.error();
    }
    return std::optional<std::string>(std::move(*text));
}

view_response fleet_state::makeViewResponse(const view_request &request, time_point now)
{
    view_response response;
    response.position = position();
    if (m_config->version > request.position.configVersion) {
        response.config = m_configHistory.updateFrom(request.position.configVersion);
    }
    response.backends = m_backends.changesSince(
        std::max(request.position.lastBackendChangeOffset.value_or(0), request.position.backendsEndOffset));
    response.members = m_members.alive(now);
    response.evacuations = m_evacuations.records();
    return response;
}

heartbeat_message fleet_state::basicHeartbeat(time_point now) const
{
    heartbeat_message message;
    message.sender = m_members.self();
    message.position = position();
    message.onlyInitialListing = m_backends.hasOnlyInitialListing();
    message.liveMembers = m_members.countAlive(now);
    message.evacuations = m_evacuations.records();
    if (m_complete) {
        message.viewAge = std::chrono::ceil<milliseconds>(now - m_schedule.freshAt());
    }
    return message;
}

heartbeat_message fleet_state::heartbeat(time_point now)
{
    heartbeat_message periodicMessage = basicHeartbeat(now);
    periodicMessage.gossipedMembers = m_members.nextGossipedMembers(gossipLimit(maxGossipedMembersPerHeartbeat), now);
    return periodicMessage;
}

heartbeat_message fleet_state::crossZoneHeartbeat(time_point now)
{
    heartbeat_message periodicMessage = basicHeartbeat(now);
    periodicMessage.gossipedMembers
        = m_members.nextZoneGossipedMembers(gossipLimit(maxGossipedMembersPerCrossZoneHeartbeat), now);
    return periodicMessage;
}

bool fleet_state::fitsHeartbeat(const std::vector<backend_record> &records) const
{
    return records.size() <= maxChangesPerHeartbeat;
}

heartbeat_message fleet_state::heartbeatWithChanges(const view_position &before, time_point now) const
{
    heartbeat_message changesMessage = basicHeartbeat(now);
    std::vector<backend_record> records = m_backends.changesSince(offsetAfter(before.lastBackendChangeOffset));
    if (!records.empty() && fitsHeartbeat(records)) {
        changesMessage.changes = {before.lastBackendChangeOffset, std::move(records)};
    }
    return changesMessage;
}

std::optional<view_update> fleet_state::makeViewUpdate(const view_position &before, time_point now)
{
    if (before == view_position()) {
        // The other entries already have the first view of an entry.
        return std::nullopt;
    }
    const bool newConfig = m_config->version > before.configVersion;
    const bool fits = !newConfig && fitsHeartbeat(m_backends.changesSince(offsetAfter(before.lastBackendChangeOffset)));
    if (fits || !m_members.isLarge()) {
        return std::nullopt;
    }
    view_update update{before, makeViewResponse({before}, now), {}};
    update.changes.members.clear();
    return update;
}

std::optional<fleet_state::change_announcement> fleet_state::announceChanges(const view_position &before,
                                                                             time_point now)
{
    const view_position after = m_unannouncedAfter.value_or(before);
    change_announcement announcement{heartbeatWithChanges(after, now), makeViewUpdate(after, now)};
    if (announcement.update) {
        announcement.heartbeat.relayed = true;
        if (now < m_relayEndsAt && !announcement.update->changes.config) {
            m_unannouncedAfter = after;
            return announceEvacuations(after, now);
        }
    }
    m_unannouncedAfter.reset();
    m_evacuationsUnannounced = false;
    return announcement;
}

bool fleet_state::expire(time_point now)
{
    m_members.expire(now);
    m_sizeEstimate.record(m_members.peers().size() + 1, now);
    return m_backends.endGracePeriods(now);
}

void fleet_state::recordProcessResumed(time_point now)
{
    m_schedule.invalidate(now);
    m_resumedAt = now;
    m_announcedView.reset();
    m_relayEndsAt = now;
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
    const time_point dueAt = m_schedule.nextRead(m_members.rank(now), m_members.countAlive(now));
    return std::max(dueAt, std::min(m_relayEndsAt, dueAt + maxReadDelay));
}

time_point fleet_state::freshAt() const
{
    return m_schedule.freshAt();
}

time_point fleet_state::resumedAt() const
{
    return m_resumedAt;
}

std::size_t fleet_state::knownEntries(time_point now) const
{
    return m_sizeEstimate.entries(now);
}

view_position fleet_state::position() const
{
    return {m_config->version, m_configEndOffset, m_backends.lastChangeOffset(), m_backends.endOffset()};
}

bool fleet_state::isComplete() const
{
    return m_complete;
}

void fleet_state::recordMembershipKnown()
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
    view->evacuatedZones = m_evacuations.evacuatedZones();
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
