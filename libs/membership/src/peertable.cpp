#include "cardamomdeck/membership/peertable.h"

#include <algorithm>
#include <functional>

namespace cardamomdeck {

namespace {

/** Maximum number of acceptances that are kept. */
constexpr std::size_t maxAcceptances = 1024;

}

peer_table::peer_table(std::string self)
    : m_self(std::move(self))
{
}

void peer_table::setMembers(const std::map<std::string, entry_member> &members,
                            log_offset membershipVersion,
                            time_point now)
{
    if (membershipVersion == m_membershipVersion) {
        return;
    }
    for (const auto &[name, member] : members) {
        const auto previous = m_members.find(name);
        const bool replaced = previous != m_members.end() && previous->second.incarnation != member.incarnation;
        if (replaced && name != m_self) {
            m_installedOffsets.erase(name);
            m_peers.erase(name);
        }
    }
    m_members = members;
    m_membershipVersion = membershipVersion;
    m_membershipChangedAt = now;
    std::erase_if(m_peers, [&](const auto &item) { return !m_members.contains(item.first); });
    std::erase_if(m_installedOffsets,
                  [&](const auto &item) { return !m_members.contains(item.first) && item.first != m_self; });
    updateAcceptedOffset(now);
}

void peer_table::setInstalledOffset(log_offset installed, time_point now)
{
    log_offset &ownOffset = m_installedOffsets[m_self];
    ownOffset = std::max(ownOffset, installed);
    updateAcceptedOffset(now);
}

void peer_table::confirmLogRead(time_point asOf)
{
    m_logReadAt = m_logReadAt ? std::max(*m_logReadAt, asOf) : asOf;
}

void peer_table::handleReply(const peer_message &message, bool complete, time_point asOf, time_point now)
{
    const auto member = m_members.find(message.entry);
    if (member == m_members.end() || member->second.incarnation != message.incarnation) {
        return;
    }
    log_offset &installed = m_installedOffsets[message.entry];
    installed = std::max(installed, message.installedOffset);
    const auto existing = m_peers.find(message.entry);
    const bool newer = existing == m_peers.end() || existing->second.lastContactAt <= asOf;
    if (newer && complete) {
        m_peers[message.entry] = {asOf, message};
        m_peers[message.entry].message.records.clear();
        m_peers[message.entry].message.snapshot.clear();
    }
    updateAcceptedOffset(now);
}

time_point peer_table::leaseExpiresAt() const
{
    time_point expiresAt = time_point::min() + viewLease;
    if (m_logReadAt) {
        expiresAt = std::max(expiresAt, *m_logReadAt + viewLease);
    }
    if (const auto contactAt = majorityContactAt()) {
        expiresAt = std::max(expiresAt, *contactAt + viewLease);
    }
    return expiresAt;
}

log_offset peer_table::acceptedOffset() const
{
    return m_acceptances.empty() ? 0 : m_acceptances.back().offset;
}

log_offset peer_table::propagatedOffset(time_point now) const
{
    log_offset propagated = m_members.empty() ? 0 : acceptedOffset();
    for (const auto &[name, member] : m_members) {
        propagated = std::min(propagated, installedOffset(name));
    }
    for (const acceptance &item : m_acceptances) {
        if (item.at + viewLease <= now) {
            propagated = std::max(propagated, item.offset);
        }
    }
    return propagated;
}

std::vector<std::string> peer_table::laggingMembers(log_offset offset) const
{
    std::vector<std::string> lagging;
    for (const auto &[name, member] : m_members) {
        if (installedOffset(name) < offset) {
            lagging.push_back(name);
        }
    }
    return lagging;
}

std::optional<time_point> peer_table::acceptedAt(log_offset offset) const
{
    for (const acceptance &item : m_acceptances) {
        if (item.offset >= offset) {
            return item.at;
        }
    }
    return std::nullopt;
}

log_offset peer_table::installedOffset(const std::string &name) const
{
    const auto found = m_installedOffsets.find(name);
    return found == m_installedOffsets.end() ? 0 : found->second;
}

std::vector<std::string> peer_table::membersWithoutContactSince(time_point since) const
{
    std::vector<std::string> withoutContact;
    for (const auto &[name, member] : m_members) {
        const peer_state *const state = peer(name);
        if (name != m_self && (state == nullptr || state->lastContactAt < since)) {
            withoutContact.push_back(name);
        }
    }
    return withoutContact;
}

bool peer_table::hasMajorityContactSince(time_point since) const
{
    const auto contactAt = majorityContactAt();
    return contactAt && *contactAt >= since;
}

std::set<std::string> peer_table::shuttingDownEntries() const
{
    std::set<std::string> shuttingDownNames;
    for (const auto &[name, state] : m_peers) {
        if (state.message.shuttingDown) {
            shuttingDownNames.insert(name);
        }
    }
    return shuttingDownNames;
}

std::set<shutdown_announcement> peer_table::shutdownAnnouncements() const
{
    std::set<shutdown_announcement> announcements;
    for (const auto &[name, state] : m_peers) {
        announcements.insert(state.message.shutdownAnnouncements.begin(), state.message.shutdownAnnouncements.end());
    }
    return announcements;
}

std::vector<std::string> peer_table::membersWithInFlightRequests(const std::string &backend, log_offset offset) const
{
    std::vector<std::string> membersWithRequests;
    for (const auto &[name, member] : m_members) {
        if (name == m_self) {
            continue;
        }
        const peer_state *const state = peer(name);
        if (state == nullptr || state->message.installedOffset < offset) {
            membersWithRequests.push_back(name);
            continue;
        }
        const auto hasRequests = [&](const in_flight_requests &item) {
            return item.backend == backend && item.count > 0;
        };
        if (std::ranges::any_of(state->message.inFlightRequests, hasRequests)) {
            membersWithRequests.push_back(name);
        }
    }
    return membersWithRequests;
}

bool peer_table::hasPeerSeenNonMember() const
{
    return std::ranges::any_of(m_peers, [](const auto &item) { return item.second.message.nonMemberSeen; });
}

time_point peer_table::membershipChangedAt() const
{
    return m_membershipChangedAt;
}

const peer_state *peer_table::peer(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::size_t peer_table::majoritySize() const
{
    return m_members.size() / 2 + 1;
}

bool peer_table::isMember(const std::string &name) const
{
    return m_members.contains(name);
}

std::optional<time_point> peer_table::majorityContactAt() const
{
    if (m_members.empty()) {
        return std::nullopt;
    }
    const std::size_t othersNeeded = majoritySize() - (isMember(m_self) ? 1 : 0);
    if (othersNeeded == 0) {
        // A single member is a majority on its own, and no other entry can accept a change, so its lease does not
        // expire. The subtraction avoids an overflow when the lease is added.
        return steady::time_point::max() - viewLease;
    }
    std::vector<time_point> contactTimes;
    for (const auto &[name, state] : m_peers) {
        contactTimes.push_back(state.lastContactAt);
    }
    if (contactTimes.size() < othersNeeded) {
        return std::nullopt;
    }
    std::ranges::sort(contactTimes, std::greater());
    return contactTimes[othersNeeded - 1];
}

void peer_table::updateAcceptedOffset(time_point now)
{
    if (m_members.empty()) {
        return;
    }
    std::vector<log_offset> offsets;
    for (const auto &[name, member] : m_members) {
        offsets.push_back(installedOffset(name));
    }
    std::ranges::sort(offsets, std::greater());
    const log_offset accepted = offsets[majoritySize() - 1];
    if (accepted <= acceptedOffset()) {
        return;
    }
    m_acceptances.push_back({accepted, now});
    if (m_acceptances.size() > maxAcceptances) {
        m_acceptances.pop_front();
    }
}

}
