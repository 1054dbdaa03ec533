#include "cardamomdeck/fleet/entryresolver.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace cardamomdeck;

namespace {

const zone_regions regions{{"a", "north"}, {"b", "north"}, {"c", "south"}};
const caller_location locationInZoneA{"a", "north"};

std::vector<fleet_member> makeMembers(const std::string &zone, std::size_t count)
{
    std::vector<fleet_member> members;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = zone + std::to_string(i);
        members.push_back({name, zone, "h-" + name, 1, true});
    }
    return members;
}

std::vector<fleet_member> operator+(std::vector<fleet_member> left, const std::vector<fleet_member> &right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

std::set<std::string> zonesOf(const std::vector<fleet_member> &members)
{
    std::set<std::string> zones;
    for (const fleet_member &member : members) {
        zones.insert(member.zone);
    }
    return zones;
}

std::vector<fleet_member> chooseForZoneA(const std::vector<fleet_member> &ready, std::size_t maxEntries = 64)
{
    random_source random(3);
    return chooseEntries(ready, regions, locationInZoneA, maxEntries, random);
}

}

TestSuite(entry_selection_for_callers);

Test(entry_selection_for_callers, caller_gets_entries_of_its_zone)
{
    const auto chosen = chooseForZoneA(makeMembers("a", 5) + makeMembers("b", 5) + makeMembers("c", 5));
    cr_assert_eq(chosen.size(), 5);
    cr_assert(zonesOf(chosen) == std::set<std::string>{"a"});
}

Test(entry_selection_for_callers, zone_without_enough_entries_falls_back_to_region)
{
    const auto chosen = chooseForZoneA(makeMembers("a", 2) + makeMembers("b", 20) + makeMembers("c", 20));
    cr_assert_eq(chosen.size(), 22);
    cr_assert(zonesOf(chosen) == (std::set<std::string>{"a", "b"}));
}

Test(entry_selection_for_callers, other_region_is_used_only_without_own_region)
{
    cr_assert(zonesOf(chooseForZoneA(makeMembers("b", 4) + makeMembers("c", 9))) == std::set<std::string>{"b"});
    cr_assert(zonesOf(chooseForZoneA(makeMembers("c", 9))) == std::set<std::string>{"c"});
    cr_assert(chooseForZoneA({}).empty());
}

Test(entry_selection_for_callers, caller_of_unknown_location_gets_all_entries)
{
    random_source random(3);
    const auto ready = makeMembers("a", 3) + makeMembers("c", 3);
    cr_assert_eq(chooseEntries(ready, regions, {"x", "y"}, 64, random).size(), 6);
}

Test(entry_selection_for_callers, all_entries_of_large_zone_get_callers)
{
    const auto ready = makeMembers("a", 100);
    random_source random(3);
    std::map<std::string, int> named;
    constexpr int callers = 500;
    for (int i = 0; i < callers; ++i) {
        const auto chosen = chooseEntries(ready, regions, locationInZoneA, 64, random);
        cr_assert_eq(chosen.size(), 64);
        for (const fleet_member &member : chosen) {
            ++named[member.name];
        }
    }
    cr_assert_eq(named.size(), 100);
    const auto leastNamed = std::ranges::min_element(named, {}, [](const auto &item) { return item.second; });
    cr_assert_gt(leastNamed->second, callers / 2);
}

TestSuite(resolution_during_fleet_start);

namespace {

constexpr std::size_t fleetSize = 60;
const time_point startTime{seconds(1000)};

/**
 * Expected callers of zone a per entry, when one caller queries each entry and picks one of the returned entries at
 * random.
 */
std::map<std::string, double> callersPerEntry(time_point now)
{
    random_source random(3);
    const std::vector<fleet_member> all = makeMembers("a", fleetSize);
    std::map<std::string, double> callers;
    for (const fleet_member &resolving : all) {
        entry_resolver resolver(resolving.name);
        resolver.setReady(true, startTime);
        // At the start, each entry knows only itself and the first entry, which is the seed.
        const std::vector<fleet_member> knownMembers = now == startTime ? std::vector{all.front(), resolving} : all;
        const resolve_result result
            = resolver.resolve(knownMembers, regions, locationInZoneA, 64, milliseconds(5000), now, random);
        for (const fleet_member &named : result.entries) {
            callers[named.name] += 1.0 / static_cast<double>(result.entries.size());
        }
    }
    return callers;
}

double maxCallersPerEntry(const std::map<std::string, double> &callers)
{
    return std::ranges::max_element(callers, {}, [](const auto &item) { return item.second; })->second;
}

}

Test(resolution_during_fleet_start, callers_are_not_concentrated_on_seeds)
{
    const auto callers = callersPerEntry(startTime);
    cr_assert_eq(callers.size(), fleetSize);
    cr_assert_leq(maxCallersPerEntry(callers), 2.0);
}

Test(resolution_during_fleet_start, results_during_discovery_have_a_short_lifetime)
{
    random_source random(3);
    entry_resolver resolver("a0");
    resolver.setReady(true, startTime);
    const auto ready = makeMembers("a", 5);
    const auto lifetimeAt = [&](time_point now) {
        return resolver.resolve(ready, regions, locationInZoneA, 64, milliseconds(5000), now, random).lifetime;
    };
    cr_assert_eq(lifetimeAt(startTime), entry_resolver::discoveryLifetime);
    cr_assert_eq(lifetimeAt(startTime + entry_resolver::discoveryPeriod), milliseconds(5000));
}

Test(resolution_during_fleet_start, all_entries_are_returned_after_discovery)
{
    const auto callers = callersPerEntry(startTime + entry_resolver::discoveryPeriod);
    cr_assert_eq(callers.size(), fleetSize);
    cr_assert_leq(maxCallersPerEntry(callers), 1.1);
}

Test(resolution_during_fleet_start, entry_that_is_not_ready_returns_ready_entries)
{
    random_source random(3);
    entry_resolver resolver("a0");
    resolver.setReady(true, startTime);
    resolver.setReady(false, startTime);
    const auto others = makeMembers("b", 3);
    cr_assert_eq(
        resolver.resolve(others, regions, locationInZoneA, 64, milliseconds(5000), startTime, random).entries.size(),
        3);
}
