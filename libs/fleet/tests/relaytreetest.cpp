#include "cardamomdeck/fleet/relaytree.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace cardamomdeck;

namespace {

std::vector<fleet_member> makeFleet(std::size_t size, const std::vector<std::string> &zones)
{
    std::vector<fleet_member> members;
    for (std::size_t i = 0; i < size; ++i) {
        const std::string number = std::to_string(i);
        members.push_back({"e" + number, zones[i % zones.size()], "h" + number, 1, true});
    }
    return members;
}

/**
 * Result of a simulated relay: the entries reached, how often each entry sends, and the number of levels below the
 * first sender.
 */
struct relay_simulation
{
    std::multiset<std::string> reached;
    std::map<std::string, std::size_t> sent;
    std::size_t levels = 0;
};

relay_simulation simulateRelay(const std::vector<relay_group> &groups)
{
    relay_simulation simulation;
    std::deque<std::pair<relay_group, std::size_t>> pending;
    for (const relay_group &group : groups) {
        pending.emplace_back(group, 1);
    }
    while (!pending.empty()) {
        const auto [group, level] = pending.front();
        pending.pop_front();
        simulation.reached.insert(group.front());
        simulation.levels = std::max(simulation.levels, level);
        for (const relay_group &next : splitEvenly({group.begin() + 1, group.end()})) {
            ++simulation.sent[group.front()];
            pending.emplace_back(next, level + 1);
        }
    }
    return simulation;
}

}

TestSuite(relay_tree);

Test(relay_tree, every_other_entry_is_reached_once)
{
    const std::vector<fleet_member> fleet = makeFleet(119, {"a", "b", "c", "d"});
    const relay_simulation simulation = simulateRelay(relayGroups(fleet, fleet[7]));
    cr_assert_eq(simulation.reached.size(), 118);
    cr_assert_eq(std::set<std::string>(simulation.reached.begin(), simulation.reached.end()).size(), 118);
    cr_assert_not(simulation.reached.contains("h7"));
}

Test(relay_tree, update_crosses_to_each_other_zone_once)
{
    const std::vector<fleet_member> fleet = makeFleet(119, {"a", "b", "c", "d"});
    std::map<std::string, std::string> zoneOf;
    for (const fleet_member &member : fleet) {
        zoneOf[member.host] = member.zone;
    }
    std::map<std::string, std::size_t> crossings;
    for (const relay_group &group : relayGroups(fleet, fleet[0])) {
        const std::string zone = zoneOf[group.front()];
        crossings[zone] += zone == "a" ? 0 : 1;
        cr_assert(std::ranges::all_of(group, [&](const std::string &host) { return zoneOf[host] == zone; }));
    }
    cr_assert_eq(crossings["b"], 1);
    cr_assert_eq(crossings["c"], 1);
    cr_assert_eq(crossings["d"], 1);
}

Test(relay_tree, fanout_is_bounded_with_a_thousand_members)
{
    const std::vector<fleet_member> fleet = makeFleet(1000, {"a", "b", "c"});
    const std::vector<relay_group> groups = relayGroups(fleet, fleet[0]);
    cr_assert_leq(groups.size(), relayFanout + 2);
    const relay_simulation simulation = simulateRelay(groups);
    cr_assert_leq(simulation.levels, 6);
    for (const auto &[host, count] : simulation.sent) {
        cr_assert_leq(count, relayFanout);
    }
}

Test(relay_tree, a_single_member_has_no_relay_groups)
{
    const std::vector<fleet_member> fleet = makeFleet(1, {"a"});
    cr_assert(relayGroups(fleet, fleet[0]).empty());
    cr_assert(splitEvenly({}).empty());
}
