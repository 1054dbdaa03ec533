#include "controlstate.h"

#include "cardamomdeck/base/logline.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iterator>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Records kept to pass on to peers that are behind. */
constexpr std::size_t recentRecordCount = 2048;

/** Silence after which callers are not told to use an entry any more. */
constexpr milliseconds unusableSilence{2500};

/** Time that a guest counts after it was heard: the longest it can act on a view and hold a request. */
constexpr milliseconds guestMemory{602'500};

}

control_state::control_state(const entry_settings &settings, entry_member self, traffic_link &link)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_link(link)
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
    const log_offset before = m_config.applied();
    for (const log_record &record : records) {
        ingestOne(record);
    }
    if (m_config.applied() != before) {
        configChanged();
    }
}

void control_state::ingestOne(const log_record &record)
{
    if (record.offset != m_config.applied() + 1) {
        return;
    }
    const fold_result result = m_config.apply(record);
    m_recentRecords.push_back(record);
    if (m_recentRecords.size() > recentRecordCount) {
        m_recentRecords.pop_front();
    }
    log_line line("record_folded");
    line.add("offset", record.offset).add("code", infoOf(result.code).name).add("detail", result.detail);
    const bool damaged = result.code == result_code::record_corrupt || result.code == result_code::record_unsupported;
    damaged ? line.warn() : line.info();
}

void control_state::ingestSnapshot(const std::string &text)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(state, config_state::fromSnapshot(text));
            if (state.applied() <= m_config.applied()) {
                return {};
            }
            m_config = std::move(state);
            m_recentRecords.clear();
            log_line("snapshot_loaded").add("offset", m_config.applied()).info();
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
    std::erase_if(m_ownSigns, [&](const leaving_sign &sign) {
        const auto found = m_config.resources().find({resource_kind::backend, sign.backend});
        return found == m_config.resources().end() || found->second.version > sign.resourceVersion;
    });
    publish();
}

void control_state::confirmedByStore(time_point asOf)
{
    m_peers.confirmedByStore(asOf);
    updateLease();
}

void control_state::setStoreReachable(bool reachable)
{
    if (reachable != m_storeReachable) {
        log_line(reachable ? "store_reachable" : "store_unreachable").info();
    }
    m_storeReachable = reachable;
}

bool control_state::isStoreReachable() const
{
    return m_storeReachable;
}

void control_state::heardReply(const peer_message &message, time_point askedAt)
{
    ingestMessage(message);
    const bool complete = m_config.applied() >= message.applied;
    m_peers.heard(message, complete, askedAt, steady::now());
    updateLease();
    publish();
}

void control_state::heardRequest(const peer_message &message)
{
    ingestMessage(message);
    // What a peer has installed stays true; but only a reply tells when it was true, so the lease is not renewed.
    m_peers.heard(message, false, steady::now(), steady::now());
    const auto member = m_config.members().find(message.entry);
    if (member == m_config.members().end() || member->second.incarnation != message.incarnation) {
        m_guestHeardAt = steady::now();
    }
}

void control_state::ingestMessage(const peer_message &message)
{
    if (!message.snapshot.empty()) {
        ingestSnapshot(message.snapshot);
    }
    ingest(message.records);
}

peer_message control_state::messageFor(log_offset peerApplied) const
{
    peer_message message;
    message.entry = m_self.name;
    message.incarnation = m_self.incarnation;
    message.applied = m_config.applied();
    message.installed = m_report->installed;
    message.leaving = m_leaving;
    message.guests = hasGuests();
    const auto leaving = leavingBackends();
    for (const auto &[backend, count] : m_report->held) {
        const auto found = m_config.resources().find({resource_kind::backend, backend});
        const bool draining = found == m_config.resources().end() || found->second.body.value("draining", false);
        if (draining || leaving.contains(backend)) {
            message.held.push_back({backend, count});
        }
    }
    message.signs.assign(m_ownSigns.begin(), m_ownSigns.end());
    fillRecords(message, peerApplied);
    return message;
}

void control_state::fillRecords(peer_message &message, log_offset peerApplied) const
{
    if (peerApplied >= m_config.applied()) {
        return;
    }
    const bool reachesBack = !m_recentRecords.empty() && m_recentRecords.front().offset <= peerApplied + 1;
    if (!reachesBack) {
        message.snapshot = m_config.toSnapshot();
        return;
    }
    const auto first = std::ranges::upper_bound(m_recentRecords, peerApplied, {}, &log_record::offset);
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
    const std::shared_ptr<const traffic_report> before = m_report;
    m_report = report;
    m_peers.setInstalled(report->installed, steady::now());
    for (const std::string &backend : report->announcedLeaving) {
        const auto found = m_config.resources().find({resource_kind::backend, backend});
        if (!before->announcedLeaving.contains(backend) && found != m_config.resources().end()) {
            m_ownSigns.insert({backend, found->second.version});
        }
    }
    std::erase_if(m_ownSigns,
                  [&](const leaving_sign &sign) { return !report->announcedLeaving.contains(sign.backend); });
    const bool noteworthy = before->installed != report->installed || before->held != report->held
                            || before->announcedLeaving != report->announcedLeaving;
    if (noteworthy) {
        publish();
    }
}

void control_state::startLeaving()
{
    m_leaving = true;
    publish();
}

bool control_state::isLeaving() const
{
    return m_leaving;
}

std::map<std::string, std::string> control_state::leavingBackends() const
{
    std::map<std::string, std::string> leaving;
    std::set<leaving_sign> signs = m_peers.leavingSigns();
    signs.insert(m_ownSigns.begin(), m_ownSigns.end());
    for (const leaving_sign &sign : signs) {
        const auto found = m_config.resources().find({resource_kind::backend, sign.backend});
        if (found != m_config.resources().end() && found->second.version <= sign.resourceVersion) {
            leaving[sign.backend] = "announced";
        }
    }
    for (const std::string &vm : m_vmList.leaving) {
        if (m_config.resources().contains({resource_kind::backend, vm})) {
            leaving[vm] = "vm_list";
        }
    }
    return leaving;
}

std::vector<std::string> control_state::drainWaitsFor(const std::string &name, log_offset version) const
{
    const auto accepted = m_peers.acceptedAt(version);
    if (!accepted) {
        return m_peers.waitingFor(version);
    }
    const auto found = m_config.resources().find({resource_kind::backend, name});
    const std::string service
        = found == m_config.resources().end() ? std::string() : found->second.body.value("service", std::string());
    const time_point noneCanHold = *accepted + viewLease + longestTimeout(service);
    if (steady::now() >= noneCanHold) {
        return {};
    }
    std::vector<std::string> waiting = knownHolders(name, version);
    const bool membersChanged = m_peers.membershipChangedAt() > *accepted - viewLease - longestTimeout(service);
    if (waiting.empty() && (membersChanged || hasGuests() || m_peers.anyGuests())) {
        // A former member, or one that is not yet a member, may hold a request that nobody reports.
        waiting.emplace_back("(deadline)");
    }
    return waiting;
}

std::vector<std::string> control_state::knownHolders(const std::string &name, log_offset version) const
{
    std::vector<std::string> holders = m_peers.holdersOf(name, version);
    if (m_report->held.contains(name) || m_report->installed < version) {
        holders.push_back(m_self.name);
    }
    return holders;
}

milliseconds control_state::longestTimeout(const std::string &service) const
{
    const auto found = m_view->services.find(service);
    return found == m_view->services.end() ? milliseconds(0) : found->second.timeout;
}

void control_state::updateLease()
{
    const time_point until = m_peers.freshUntil();
    m_link.freshUntil.store(until.time_since_epoch().count(), std::memory_order_release);
}

std::set<std::string> control_state::unusableEntries() const
{
    std::set<std::string> unusable = m_peers.leavingEntries();
    const time_point since = steady::now() - unusableSilence;
    if (m_peers.majorityHeardSince(since)) {
        const auto silent = m_peers.silentSince(since);
        unusable.insert(silent.begin(), silent.end());
    }
    for (const auto &[name, member] : m_config.members()) {
        if (m_vmList.leaving.contains(name)) {
            unusable.insert(name);
        }
    }
    if (m_leaving) {
        unusable.insert(m_self.name);
    }
    return unusable;
}

bool control_state::hasGuests() const
{
    return m_guestHeardAt != time_point::min() && steady::now() < m_guestHeardAt + guestMemory;
}

bool control_state::mayProbe() const
{
    return isMember() && !m_leaving;
}

void control_state::updateProbeRight()
{
    const auto &members = m_config.members();
    const auto rank = static_cast<std::size_t>(std::distance(members.begin(), members.lower_bound(m_self.name)));
    const bool entitled = mayProbe();
    if (entitled && (!m_mayProbe || rank < m_memberRank)) {
        // Entries that have not yet seen the new membership may still use the share that this entry takes over.
        m_probeNotBefore = steady::now() + viewLease;
    }
    m_mayProbe = entitled;
    m_memberRank = rank;
}

void control_state::publish()
{
    updateProbeRight();
    auto update = std::make_shared<traffic_update>();
    update->view = m_view;
    for (const auto &[backend, source] : leavingBackends()) {
        update->leavingBackends.insert(backend);
    }
    update->unusableEntries = unusableEntries();
    update->mayProbe = m_mayProbe;
    update->memberRank = m_memberRank;
    update->probeNotBefore = m_probeNotBefore;
    update->leaving = m_leaving;
    if (!(*update == *m_published)) {
        m_published = update;
        if (!m_link.updates.push(std::move(update))) {
            m_published = std::make_shared<traffic_update>();
        }
    }
    if (m_observer) {
        m_observer();
    }
}

}
