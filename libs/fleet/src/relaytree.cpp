#include "cardamomdeck/fleet/relaytree.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace cardamomdeck {

std::vector<relay_group> splitEvenly(const std::vector<std::string> &hosts)
{
    std::vector<relay_group> groups(std::min(relayFanout, hosts.size()));
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        groups[i % groups.size()].push_back(hosts[i]);
    }
    return groups;
}

std::vector<relay_group> relayGroups(const std::vector<fleet_member> &members, const fleet_member &self)
{
    std::map<std::string, relay_group> zones;
    for (const fleet_member &member : members) {
        if (member.name != self.name) {
            zones[member.zone].push_back(member.host);
        }
    }
    std::vector<relay_group> groups = splitEvenly(zones[self.zone]);
    zones.erase(self.zone);
    std::ranges::transform(zones, std::back_inserter(groups), [](const auto &zone) { return zone.second; });
    return groups;
}

}
