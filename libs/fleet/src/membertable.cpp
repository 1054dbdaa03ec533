#include "cardamomdeck/fleet/membertable.h"

#include <algorithm>

namespace cardamomdeck {

bool hasHigherRank(const fleet_member &a, const fleet_member &b)
{
    return a.readCapacity != b.readCapacity ? a.readCapacity > b.readCapacity : a.name < b.name;
}

member_table::member_table(fleet_member self)
    : m_self(std::move(self))
{
}

void member_table::setReady()
{
    m_self.ready = !m_self.shuttingDown;
}

void member_table::startShutdown()
{
    m_self.shuttingDown = true;
    m_self.ready = false;
}

const fleet_member &member_table::self() const
{
    return m_self;
}

member_table::peer &member_table::update(const fleet_member &member, time_point now)
{
    const auto [position, added] = m_peers.try_emplace(member.name);
    peer &entry = position->second;
    if (added) {
        entry.knownSince = now;
    }
    if (added || member.startUnixMs > entry.member.startUnixMs) {
        entry.member = member;
    } else if (member.startUnixMs == entry.member.startUnixMs) {
        // Gossip may be older than the known state; an incarnation only goes from starting to ready to shutting down.
        entry.member.shuttingDown = entry.member.shuttingDown || member.shuttingDown;
        entry.member.ready = (entry.member.ready || member.ready) && !entry.member.shuttingDown;
        entry.member.readCapacity = std::max(entry.member.readCapacity, member.readCapacity);
    }
    return entry;
}

bool member_table::isSelf(const fleet_member &member)
{
    if (member.name != m_self.name) {
        return false;
    }
    // A start far in the future is that of a damaged message; each entry would raise it further.
    const bool isPlausible = member.startUnixMs <= m_self.startUnixMs + maxClockSetback.count();
    if (member.startUnixMs > m_self.startUnixMs && isPlausible) {
        // An earlier incarnation has a later start time, because the clock was set back; peers would treat this one
        // as the earlier.
        m_self.startUnixMs = member.startUnixMs + 1;
    }
    return true;
}

std::optional<fleet_member> member_table::laterIncarnation(const fleet_member &member) const
{
    const auto found = m_peers.find(member.name);
    const bool later = found != m_peers.end() && found->second.member.startUnixMs > member.startUnixMs;
    return later ? std::optional(found->second.member) : std::nullopt;
}

bool member_table::recordHeartbeat(const fleet_member &member, time_point now)
{
    if (isSelf(member)) {
        return false;
    }
    const auto found = m_peers.find(member.name);
    const bool wasDown = found == m_peers.end() || !isAlive(found->second, now);
    const fleet_member before = found == m_peers.end() ? member : found->second.member;
    peer &entry = update(member, now);
    const bool changed = wasDown || entry.member != before;
    entry.lastAliveAt = now;
    entry.everAlive = true;
    return changed;
}

void member_table::recordDiscovered(const fleet_member &member, time_point now)
{
    if (isSelf(member)) {
        return;
    }
    const auto found = m_peers.find(member.name);
    if (found == m_peers.end() || found->second.member.startUnixMs < member.startUnixMs) {
        update(member, now);
    }
}

void member_table::expire(time_point now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return now - std::max(item.second.lastAliveAt, item.second.knownSince) > removalTimeout;
    });
}

bool member_table::isAlive(const peer &entry, time_point now) const
{
    return entry.everAlive && now - entry.lastAliveAt <= heartbeatTimeoutOf(entry);
}

milliseconds member_table::heartbeatTimeoutOf(const peer &entry) const
{
    if (!isLarge()) {
        return heartbeatTimeout;
    }
    return entry.member.zone == m_self.zone ? gossipHeartbeatTimeout : crossZoneHeartbeatTimeout;
}

bool member_table::isLarge() const
{
    return m_peers.size() >= maxFullMeshMembers;
}

void member_table::recordGossip(const fleet_member &member, time_point at, time_point now)
{
    if (isSelf(member)) {
        return;
    }
    peer &entry = update(member, now);
    // Gossip about an earlier incarnation does not show that the current one is alive.
    if (entry.member.startUnixMs == member.startUnixMs) {
        entry.lastAliveAt = std::max(entry.lastAliveAt, at);
        entry.everAlive = true;
    }
}

bool member_table::isCrossZoneSender(time_point now) const
{
    const auto higherRanked = std::ranges::count_if(m_peers, [&](const auto &item) {
        const fleet_member &member = item.second.member;
        return member.zone == m_self.zone && hasHigherRank(member, m_self) && isAlive(item.second, now);
    });
    return static_cast<std::size_t>(higherRanked) < crossZoneSendersPerZone;
}

std::vector<fleet_member> member_table::heartbeatTargets(time_point now, random_source &random) const
{
    std::vector<fleet_member> targets = peers();
    if (!isLarge()) {
        return targets;
    }
    std::ranges::shuffle(targets, random);
    const bool sendsCrossZone = isCrossZoneSender(now);
    std::map<std::string, std::size_t> targetsPerZone;
    std::erase_if(targets, [&](const fleet_member &target) {
        const std::size_t maxTargets = target.zone == m_self.zone ? gossipFanout : (sendsCrossZone ? 1 : 0);
        return targetsPerZone[target.zone]++ >= maxTargets;
    });
    return targets;
}

std::vector<gossiped_member> member_table::nextGossipedMembers(std::size_t count, time_point now)
{
    return selectGossipedMembers(count, now, false, m_lastGossipedName);
}

std::vector<gossiped_member> member_table::nextZoneGossipedMembers(std::size_t count, time_point now)
{
    return selectGossipedMembers(count, now, true, m_lastZoneGossipedName);
}

std::vector<gossiped_member>
member_table::selectGossipedMembers(std::size_t count, time_point now, bool ownZoneOnly, std::string &lastName) const
{
    std::vector<gossiped_member> result;
    if (!isLarge()) {
        return result;
    }
    auto position = m_peers.upper_bound(lastName);
    for (std::size_t visited = 0; visited < m_peers.size() && result.size() < count; ++visited) {
        if (position == m_peers.end()) {
            position = m_peers.begin();
        }
        const bool inScope = !ownZoneOnly || position->second.member.zone == m_self.zone;
        // Older gossip is of little use to other members.
        const bool recent = position->second.everAlive
                            && now - position->second.lastAliveAt <= heartbeatTimeoutOf(position->second) / 2;
        if (inScope && recent) {
            const auto age = std::chrono::ceil<milliseconds>(now - position->second.lastAliveAt);
            result.push_back({position->second.member, age});
        }
        lastName = position->first;
        ++position;
    }
    return result;
}

std::vector<fleet_member> member_table::peers() const
{
    std::vector<fleet_member> members;
    members.reserve(m_peers.size());
    for (const auto &[name, entry] : m_peers) {
        members.push_back(entry.member);
    }
    return members;
}

std::vector<fleet_member> member_table::alive(time_point now) const
{
    std::vector<fleet_member> members{m_self};
    for (const auto &[name, entry] : m_peers) {
        if (isAlive(entry, now)) {
            members.push_back(entry.member);
        }
    }
    return members;
}

std::size_t member_table::countAlive(time_point now) const
{
    const auto peers = std::ranges::count_if(m_peers, [&](const auto &item) { return isAlive(item.second, now); });
    return 1 + static_cast<std::size_t>(peers);
}

std::vector<fleet_member> member_table::ready(time_point now) const
{
    std::vector<fleet_member> members = alive(now);
    std::erase_if(members, [](const fleet_member &member) { return !member.ready; });
    return members;
}

std::size_t member_table::rank(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [&](const auto &item) {
        return hasHigherRank(item.second.member, m_self) && isAlive(item.second, now);
    }));
}

}
