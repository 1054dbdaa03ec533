#include "controlstate.h"

#include "cardamomdeck/base/logline.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iterator>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Number of applied records that are retained for peers that lag behind. */
constexpr std::size_t maxRecentRecords = 2048;

/** Time without contact after which an entry is no longer returned to callers. */
constexpr milliseconds unavailableTimeout{2500};

/**
 * Time after its last message for which a non-member is considered: the maximum time for which it
 * can use a view and have a request in flight.
 */
constexpr milliseconds nonMemberRetention{602'500};

}

control_state::control_state(const entry_settings &settings, entry_member self, traffic_channel &channel)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_trafficChannel(channel)
    , m_peers(m_self.name)
    , m_view(std::make_shared<routing_view>())
    , m_published(std::make_shared<traffic_update>())
    , m_report(std::make_shared<traffic_report>())
{
}

const entry_member &control_state::self() const
{
    return m_self;
}

bool control_state::isMember() const
{
    const auto found = m_config.members().find(m_self.name);
    return found != m_config.members().end() && found->second.incarnation == m_self.incarnation;
}

const config_state &control_state::config() const
{
    return m_config;
}

const peer_table &control_state::peers() const
{
    return m_peers;
}

const traffic_report &control_state::report() const
{
    return *m_report;
}

void control_state::onChange(std::function<void()> observer)
{
    m_observer = std::move(observer);
}

void control_state::ingest(const std::vector<log_record> &records)
{
    const log_offset previousOffset = m_config.appliedOffset();
    for (const log_record &record : records) {
        ingestRecord(record);
    }
    if (m_config.appliedOffset() != previousOffset) {
        configChanged();
    }
}

void control_state::ingestRecord(const log_record &record)
{
    if (record.offset != m_config.appliedOffset() + 1) {
        return;
    }
    const apply_result result = m_config.apply(record);
    m_recentRecords.push_back(record);
    if (m_recentRecords.size() > maxRecentRecords) {
        m_recentRecords.pop_front();
    }
    log_line line("record_folded");
    line.add("offset", record.offset).add("code", infoOf(result.code).name).add("detail", result.detail);
    const bool unreadable
        = result.code == result_code::record_corrupt || result.code == result_code::record_unsupported;
    unreadable ? line.warn() : line.info();
}

void control_state::ingestSnapshot(const std::string &text)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(state, config_state::fromSnapshot(text));
            if (state.appliedOffset() <= m_config.appliedOffset()) {
                return {};
            }
            m_config = std::move(state);
            m_recentRecords.clear();
            log_line("snapshot_loaded").add("offset", m_config.appliedOffset()).info();
            configChanged();
            return {};
        },
        [](const failure &error) { log_line("snapshot_rejected").add("detail", error.detail).warn(); },
        [] { log_line("snapshot_rejected").warn(); });
}

void control_state::configChanged()
{
    m_view = makeRoutingView(m_config);
    m_peers.setMembers(m_config.members(), m_config.membershipVersion(), steady::now());
    std::erase_if(m_localShutdownAnnouncements, [&](const shutdown_announcement &announcement) {
        const auto found = m_config.resources().find({resource_kind::backend, announcement.backend});
        return found == m_config.resources().end() || found->second.version > announcement.resourceVersion;
    });
    publish();
}

void control_state::confirmLogRead(time_point asOf)
{
    m_peers.confirmLogRead(asOf);
    updateLease();
}

void control_state::setLogServiceReachable(bool reachable)
{
    if (reachable != m_logServiceReachable) {
        log_line(reachable ? "store_reachable" : "store_unreachable").info();
    }
    m_logServiceReachable = reachable;
}

bool control_state::isLogServiceReachable() const
{
    return m_logServiceReachable;
}

void control_state::handlePeerReply(const peer_message &message, time_point requestSentAt)
{
    ingestMessage(message);
    const bool complete = m_config.appliedOffset() >= message.appliedOffset;
    m_peers.handleReply(message, complete, requestSentAt, steady::now());
    updateLease();
    publish();
}

void control_state::handlePeerRequest(const peer_message &message)
{
    ingestMessage(message);
    // The installed offset in a request stays valid, but its time is unknown. Hence only replies renew the lease.
    m_peers.handleReply(message, false, steady::now(), steady::now());
    const auto member = m_config.members().find(message.entry);
    if (member == m_config.members().end() || member->second.incarnation != message.incarnation) {
        m_lastNonMemberContactAt = steady::now();
    }
}

void control_state::ingestMessage(const peer_message &message)
{
    if (!message.snapshot.empty()) {
        ingestSnapshot(message.snapshot);
    }
    ingest(message.records);
}

peer_message control_state::messageFor(log_offset peerAppliedOffset) const
{
    peer_message message;
    message.entry = m_self.name;
    message.incarnation = m_self.incarnation;
    message.appliedOffset = m_config.appliedOffset();
    message.installedOffset = m_report->installed;
    message.shuttingDown = m_shuttingDown;
    message.nonMemberSeen = hasRecentNonMembers();
    const auto shuttingDownServers = shuttingDownBackends();
    for (const auto &[backend, count] : m_report->inFlightByBackend) {
        const auto found = m_config.resources().find({resource_kind::backend, backend});
        const bool draining = found == m_config.resources().end() || found->second.body.value("draining", false);
        if (draining || shuttingDownServers.contains(backend)) {
            message.inFlightRequests.push_back({backend, count});
        }
    }
    message.shutdownAnnouncements.assign(m_localShutdownAnnouncements.begin(), m_localShutdownAnnouncements.end());
    addMissingRecords(message, peerAppliedOffset);
    return message;
}

void control_state::addMissingRecords(peer_message &message, log_offset peerAppliedOffset) const
{
    if (peerAppliedOffset >= m_config.appliedOffset()) {
        return;
    }
    const bool canSendRecords = !m_recentRecords.empty() && m_recentRecords.front().offset <= peerAppliedOffset + 1;
    if (!canSendRecords) {
        message.snapshot = m_config.toSnapshot();
        return;
    }
    const auto first = std::ranges::upper_bound(m_recentRecords, peerAppliedOffset, {}, &log_record::offset);
    message.records.assign(first, m_recentRecords.end());
}

void control_state::setVmList(const vm_list &list)
{
    if (list.version <= m_vmList.version) {
        return;
    }
    m_vmList = list;
    publish();
}

const vm_list &control_state::vmList() const
{
    return m_vmList;
}

void control_state::setReport(const std::shared_ptr<const traffic_report> &report)
{
    const std::shared_ptr<const traffic_report> previousReport = m_report;
    m_report = report;
    m_peers.setInstalledOffset(report->installed, steady::now());
    for (const std::string &backend : report->announcedShutdowns) {
        const auto found = m_config.resources().find({resource_kind::backend, backend});
        if (!previousReport->announcedShutdowns.contains(backend) && found != m_config.resources().end()) {
            m_localShutdownAnnouncements.insert({backend, found->second.version});
        }
    }
    std::erase_if(m_localShutdownAnnouncements, [&](const shutdown_announcement &announcement) {
        return !report->announcedShutdowns.contains(announcement.backend);
    });
    const bool reportChanged = previousReport->installed != report->installed
                               || previousReport->inFlightByBackend != report->inFlightByBackend
                               || previousReport->announcedShutdowns != report->announcedShutdowns;
    if (reportChanged) {
        publish();
    }
}

void control_state::startShutdown()
{
    m_shuttingDown = true;
    publish();
}

bool control_state::isShuttingDown() const
{
    return m_shuttingDown;
}

std::map<std::string, std::string> control_state::shuttingDownBackends() const
{
    std::map<std::string, std::string> shuttingDownServers;
    std::set<shutdown_announcement> announcements = m_peers.shutdownAnnouncements();
    announcements.insert(m_localShutdownAnnouncements.begin(), m_localShutdownAnnouncements.end());
    for (const shutdown_announcement &announcement : announcements) {
        const auto found = m_config.resources().find({resource_kind::backend, announcement.backend});
        if (found != m_config.resources().end() && found->second.version <= announcement.resourceVersion) {
            shuttingDownServers[announcement.backend] = "announced";
        }
    }
    for (const std::string &vm : m_vmList.shuttingDown) {
        if (m_config.resources().contains({resource_kind::backend, vm})) {
            shuttingDownServers[vm] = "vm_list";
        }
    }
    return shuttingDownServers;
}

std::vector<std::string> control_state::drainBlockers(const std::string &name, log_offset version) const
{
    const auto accepted = m_peers.acceptedAt(version);
    if (!accepted) {
        return m_peers.laggingMembers(version);
    }
    const auto found = m_config.resources().find({resource_kind::backend, name});
    const std::string service
        = found == m_config.resources().end() ? std::string() : found->second.body.value("service", std::string());
    const time_point allRequestsExpiredAt = *accepted + viewLease + longestTimeout(service);
    if (steady::now() >= allRequestsExpiredAt) {
        return {};
    }
    std::vector<std::string> waitingFor = reportedDrainBlockers(name, version);
    const bool membersChanged = m_peers.membershipChangedAt() > *accepted - viewLease - longestTimeout(service);
    if (waitingFor.empty() && (membersChanged || hasRecentNonMembers() || m_peers.hasPeerSeenNonMember())) {
        // A former or future member may have a request in flight that no member reports.
        waitingFor.emplace_back("(deadline)");
    }
    return waitingFor;
}

std::vector<std::string> control_state::reportedDrainBlockers(const std::string &name, log_offset version) const
{
    std::vector<std::string> reportedBlockers = m_peers.membersWithInFlightRequests(name, version);
    if (m_report->inFlightByBackend.contains(name) || m_report->installed < version) {
        reportedBlockers.push_back(m_self.name);
    }
    return reportedBlockers;
}

milliseconds control_state::longestTimeout(const std::string &service) const
{
    const auto found = m_view->services.find(service);
    return found == m_view->services.end() ? milliseconds(0) : found->second.timeout;
}

void control_state::updateLease()
{
    const time_point expiresAt = m_peers.leaseExpiresAt();
    m_trafficChannel.leaseExpiresAt.store(expiresAt.time_since_epoch().count(), std::memory_order_release);
}

std::set<std::string> control_state::unavailableEntries() const
{
    std::set<std::string> unavailable = m_peers.shuttingDownEntries();
    const time_point since = steady::now() - unavailableTimeout;
    if (m_peers.hasMajorityContactSince(since)) {
        const auto unresponsive = m_peers.membersWithoutContactSince(since);
        unavailable.insert(unresponsive.begin(), unresponsive.end());
    }
    for (const auto &[name, member] : m_config.members()) {
        if (m_vmList.shuttingDown.contains(name)) {
            unavailable.insert(name);
        }
    }
    if (m_shuttingDown) {
        unavailable.insert(m_self.name);
    }
    return unavailable;
}

bool control_state::hasRecentNonMembers() const
{
    return m_lastNonMemberContactAt != time_point::min()
           && steady::now() < m_lastNonMemberContactAt + nonMemberRetention;
}

bool control_state::canProbe() const
{
    return isMember() && !m_shuttingDown;
}

void control_state::updateProbeEligibility()
{
    const auto &members = m_config.members();
    const auto rank = static_cast<std::size_t>(std::distance(members.begin(), members.lower_bound(m_self.name)));
    const bool canProbeNow = canProbe();
    if (canProbeNow && (!m_probingAllowed || rank < m_memberRank)) {
        // Entries that have not yet seen the new membership may still use the probe share that this entry takes over.
        m_probeNotBefore = steady::now() + viewLease;
    }
    m_probingAllowed = canProbeNow;
    m_memberRank = rank;
}

void control_state::publish()
{
    updateProbeEligibility();
    auto update = std::make_shared<traffic_update>();
    update->view = m_view;
    for (const auto &[backend, source] : shuttingDownBackends()) {
        update->shuttingDownBackends.insert(backend);
    }
    update->unavailableEntries = unavailableEntries();
    update->probingAllowed = m_probingAllowed;
    update->memberRank = m_memberRank;
    update->probeNotBefore = m_probeNotBefore;
    update->shuttingDown = m_shuttingDown;
    if (!(*update == *m_published)) {
        m_published = update;
        if (!m_trafficChannel.updates.push(std::move(update))) {
            m_published = std::make_shared<traffic_update>();
        }
    }
    if (m_observer) {
        m_observer();
    }
}

}
