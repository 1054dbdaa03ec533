#include "cardamomdeck/fleet/membertable.h"

#include <algorithm>

namespace cardamomdeck {

member_table::member_table(fleet_member self)
    : m_self(std::move(self))
{
}

void member_table::setSelf(fleet_member self)
{
    m_self = std::move(self);
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
    if (added || member.bornMs >= entry.member.bornMs) {
        entry.member = member;
    }
    return entry;
}

bool member_table::heard(const fleet_member &member, time_point now)
{
    if (member.name == m_self.name) {
        return false;
    }
    const auto found = m_peers.find(member.name);
    const bool news = found == m_peers.end() || !isAlive(found->second, now) || found->second.member != member;
    peer &entry = update(member, now);
    entry.heardAt = now;
    entry.everHeard = true;
    return news;
}

void member_table::learned(const fleet_member &member, time_point now)
{
    const auto found = m_peers.find(member.name);
    const bool newer = found == m_peers.end() || found->second.member.bornMs < member.bornMs;
    if (member.name != m_self.name && newer) {
        update(member, now);
    }
}

void member_table::expire(time_point now)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return now - std::max(item.second.heardAt, item.second.knownSince) > forgetLimit;
    });
}

bool member_table::isAlive(const peer &entry, time_point now) const
{
    return entry.everHeard && now - entry.heardAt <= silenceLimit;
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

std::vector<fleet_member> member_table::ready(time_point now) const
{
    std::vector<fleet_member> members = alive(now);
    std::erase_if(members, [](const fleet_member &member) { return !member.ready; });
    return members;
}

std::size_t member_table::rank(time_point now) const
{
    const std::vector<fleet_member> members = alive(now);
    return static_cast<std::size_t>(
        std::ranges::count_if(members, [this](const fleet_member &member) { return member.name < m_self.name; }));
}

}
