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
    const bool backendsKnown = m_complete || m_backends.endPosition().offset > 0;
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
    m_lastReadAt = readResult.startedAt;
    const bool configRead = readResult.configRead && readResult.configEnd.era >= m_configEnd.era;
    const bool backendsRead = readResult.backendsRead && readResult.backendsEnd.era >= m_backends.endPosition().era;
    if (configRead && backendsRead) {
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
    if (configRead) {
        changed = applyEvacuations(readResult) || changed;
        advanceConfigTo(readResult.configEnd, now);
    }
    // Records that were read before a later call failed are applied, but do not refresh the view.
    const bool applicable = backendsRead || !readResult.completeListing;
    changed = (applicable && applyBackends(readResult, now)) || changed;
    updateReadiness();
    return changed;
}

bool fleet_state::applyBackends(const store_read_result &readResult, time_point now)
{
    if (readResult.completeListing) {
        return m_backends.replaceAll(readResult.backends, readResult.backendsEnd, now);
    }
    bool changed = false;
    for (const backend_record &record : readResult.backends) {
        changed = m_backends.apply(record, now) || changed;
    }
    m_backends.advanceTo(readResult.backendsEnd);
    return changed;
}

bool fleet_state::isUpToDateWith(const view_position &position) const
{
    return m_complete && m_config->version >= position.configVersion
           && m_backends.endPosition() >= position.backendsListedUpTo
           && m_backends.isUpToDateWith(position.lastBackendChange);
}

bool fleet_state::isOfEarlierEra(const view_position &position) const
{
    return position.configEnd.era < m_configEnd.era || position.backendsEnd.era < m_backends.endPosition().era;
}

bool fleet_state::canBootstrapFrom(milliseconds age) const
{
    return m_complete || m_failedReadAt || age <= storeOutageThreshold;
}

bool fleet_state::shouldRequestMembers(const heartbeat_message &message, time_point now)
{
    const bool lacksMembers = message.liveMembers > m_members.countAlive(now) && now >= m_nextMemberRequestAt;
    if (lacksMembers) {
        m_nextMemberRequestAt = now + minMemberRequestInterval;
    }
    return !m_membershipKnown || lacksMembers;
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
    result.evacuationsChanged = applyPeerEvacuations(message.evacuations, message.position, now);
    if (message.viewAge) {
        result.announcedFreshAt = now - *message.viewAge;
    }
    if (!message.viewAge || !canBootstrapFrom(*message.viewAge)) {
        return result;
    }
    if (isOfEarlierEra(message.position)) {
        result.announcedFreshAt.reset();
        // A configuration has a version of its own, which does not depend on the store.
        const bool newConfig = message.position.configVersion > m_config->version;
        result.shouldRequestView = newConfig || shouldRequestMembers(message, now);
        return result;
    }
    const bool followsListing = m_backends.endPosition() >= message.position.backendsListedUpTo;
    if (m_complete && message.changes && followsListing && m_backends.isUpToDateWith(message.changes->after)) {
        for (const backend_record &record : message.changes->records) {
            result.viewChanged = m_backends.applyPeerChange(record, now) || result.viewChanged;
        }
    }
    if (message.relayed) {
        m_relayEndsAt = now + relayTime;
    }
    const bool hasUnknownChanges = !isUpToDateWith(message.position);
    const bool newConfig = message.position.configVersion > m_config->version;
    // A later initial listing usually contains no change, and the next reads of this entry or its peers pass its
    // position soon. So they do if only the listing of the sender's view is later, but for one of a later era.
    const bool isOnlyInitialListing = m_complete && message.onlyInitialListing && !newConfig;
    const bool isOnlyLaterListing = m_complete && !newConfig
                                    && m_backends.isUpToDateWith(message.position.lastBackendChange)
                                    && m_backends.endPosition().era == message.position.backendsEnd.era;
    if (hasUnknownChanges && !isOnlyInitialListing && !isOnlyLaterListing) {
        m_announcedView = {message.position, now - *message.viewAge};
        result.shouldRequestView = true;
        return result;
    }
    result.shouldRequestView = shouldRequestMembers(message, now);
    if (hasUnknownChanges) {
        return result;
    }
    recordFresh(now - *message.viewAge, now);
    advanceConfigTo(message.position.configEnd, now);
    m_backends.advanceTo(message.position.backendsEnd);
    updateReadiness();
    return result;
}

void fleet_state::confirmAnnouncedView(time_point now)
{
    if (!m_announcedView || !isUpToDateWith(m_announcedView->position)) {
        return;
    }
    recordFresh(m_announcedView->freshAt, now);
    advanceConfigTo(m_announcedView->position.configEnd, now);
    m_backends.advanceTo(m_announcedView->position.backendsEnd);
    m_announcedView.reset();
}

bool fleet_state::applyViewUpdate(const view_update &update, std::optional<config_source> config, time_point now)
{
    bool changed = applyPeerEvacuations(update.changes.evacuations, update.changes.position, now);
    if (config) {
        changed = installConfig(std::move(*config)) || changed;
    }
    // If records before them are missing, applying these would mark the missing ones as received.
    const bool followsView = m_backends.endPosition() >= update.changes.position.backendsListedUpTo
                             && m_backends.isUpToDateWith(update.basePosition.lastBackendChange);
    if (m_complete && (update.changes.completeBackends || followsView)) {
        changed = applyPeerBackends(update.changes, now) || changed;
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
    bool changed = applyPeerEvacuations(response.evacuations, response.position, now);
    if (config) {
        changed = installConfig(std::move(*config)) || changed;
    }
    // The configuration of the response may not have been restored; a read of the store must find it then.
    const bool isCurrent = freshAt && m_config->version >= response.position.configVersion;
    if (isCurrent) {
        recordFresh(*freshAt, now);
    }
    changed = applyPeerBackends(response, now) || changed;
    if (isCurrent) {
        advanceConfigTo(response.position.configEnd, now);
        m_backends.advanceTo(response.position.backendsEnd);
    }
    confirmAnnouncedView(now);
    updateReadiness();
    return changed;
}

bool fleet_state::applyPeerBackends(const view_response &response, time_point now)
{
    if (response.completeBackends) {
        return m_backends.applyPeerListing({response.backends,
                                            response.disputedBackends,
                                            response.position.backendsEnd,
                                            response.position.lastBackendChange},
                                           now);
    }
    bool changed = false;
    for (const backend_record &record : response.backends) {
        changed = m_backends.applyPeerChange(record, now) || changed;
    }
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
    const view_position &known = request.position;
    topic_position from = std::max(known.lastBackendChange.value_or(topic_position()), known.backendsEnd);
    if (!request.acceptsListing && from != topic_position()) {
        from.era = m_backends.endPosition().era;
        response.backends = m_backends.changesSince(from);
    } else if (m_complete && known.backendsEnd < m_backends.listedUpTo()) {
        response.completeBackends = true;
        response.backends = m_backends.allRecords();
        response.disputedBackends = m_backends.disputedServers();
    } else {
        response.backends = m_backends.changesSince(from);
    }
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
    std::vector<backend_record> records = m_backends.changesSince(positionAfter(before.lastBackendChange));
    if (!records.empty() && fitsHeartbeat(records)) {
        changesMessage.changes = {before.lastBackendChange, std::move(records)};
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
    // The other entries of a fleet that does not know the era of the store yet learn of it one after the other.
    const bool learnsEra = !before.backendsEnd.era && m_backends.endPosition().era;
    const bool listed = !learnsEra && before.backendsEnd < m_backends.listedUpTo();
    const bool fits
        = !newConfig && !listed && fitsHeartbeat(m_backends.changesSince(positionAfter(before.lastBackendChange)));
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
    m_evacuationsUnannounced = m_evacuations.endGracePeriod(m_schedule.freshAt()) || m_evacuationsUnannounced;
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
    const std::size_t rank = m_members.rank(now);
    const std::size_t members = m_members.countAlive(now);
    const time_point dueAt = m_schedule.nextRead(rank, members);
    const time_point delayedDueAt = std::max(dueAt, std::min(m_relayEndsAt, dueAt + maxReadDelay));
    // A contradiction that a read has not resolved, as the peer was ahead of the store, must not cause a series of
    // reads.
    const time_point listingNeededAt = m_evacuations.isContradicted()
                                           ? m_lastReadAt + read_schedule::minReadAge
                                           : m_backends.listingNeededAt().value_or(time_point::max());
    return std::min(delayedDueAt, std::max(listingNeededAt, m_schedule.retryAt(rank, members)));
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
    return {m_config->version, m_configEnd, m_backends.lastChange(), m_backends.endPosition(), m_backends.listedUpTo()};
}

bool fleet_state::needsBackendListing(time_point now) const
{
    return !m_complete || m_backends.listingNeededAt().value_or(time_point::max()) <= now;
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
