#include "cardamomdeck/fleet/entrychoice.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace cardamomdeck;

namespace {

const zone_regions regions{{"a", "north"}, {"b", "north"}, {"c", "south"}};
const caller_place inZoneA{"a", "north"};

std::vector<fleet_member> entries(const std::string &zone, std::size_t count)
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

std::vector<fleet_member> choose(const std::vector<fleet_member> &ready, std::size_t most = 64)
{
    random_source random(3);
    return chooseEntries(ready, regions, inZoneA, most, random);
}

}

TestSuite(a_caller_asks_where_to_connect);

Test(a_caller_asks_where_to_connect, it_is_sent_to_its_own_zone)
{
    const auto chosen = choose(entries("a", 5) + entries("b", 5) + entries("c", 5));
    cr_assert_eq(chosen.size(), 5);
    cr_assert(zonesOf(chosen) == std::set<std::string>{"a"});
}

Test(a_caller_asks_where_to_connect, callers_of_a_zone_that_lost_most_entries_are_spread_over_the_region)
{
    const auto chosen = choose(entries("a", 2) + entries("b", 20) + entries("c", 20));
    cr_assert_eq(chosen.size(), 22);
    cr_assert(zonesOf(chosen) == (std::set<std::string>{"a", "b"}));
}

Test(a_caller_asks_where_to_connect, another_region_is_named_only_when_its_own_is_lost)
{
    cr_assert(zonesOf(choose(entries("b", 4) + entries("c", 9))) == std::set<std::string>{"b"});
    cr_assert(zonesOf(choose(entries("c", 9))) == std::set<std::string>{"c"});
    cr_assert(choose({}).empty());
}

Test(a_caller_asks_where_to_connect, a_caller_of_an_unknown_place_gets_any)
{
    random_source random(3);
    const auto ready = entries("a", 3) + entries("c", 3);
    cr_assert_eq(chooseEntries(ready, regions, {"x", "y"}, 64, random).size(), 6);
}

Test(a_caller_asks_where_to_connect, in_a_zone_of_a_hundred_entries_all_get_callers)
{
    const auto ready = entries("a", 100);
    random_source random(3);
    std::map<std::string, int> named;
    constexpr int callers = 500;
    for (int i = 0; i < callers; ++i) {
        const auto chosen = chooseEntries(ready, regions, inZoneA, 64, random);
        cr_assert_eq(chosen.size(), 64);
        for (const fleet_member &member : chosen) {
            ++named[member.name];
        }
    }
    cr_assert_eq(named.size(), 100);
    const auto rarest = std::ranges::min_element(named, {}, [](const auto &item) { return item.second; });
    cr_assert_gt(rarest->second, callers / 2);
}

TestSuite(a_fleet_starts_all_at_once);

namespace {

constexpr std::size_t fleetSize = 60;
const time_point start{seconds(1000)};

/** Callers of zone a that each entry is named to, when callers ask all entries equally and pick one at random. */
std::map<std::string, double> callersPerEntry(time_point now)
{
    random_source random(3);
    const std::vector<fleet_member> all = entries("a", fleetSize);
    std::map<std::string, double> callers;
    for (const fleet_member &asked : all) {
        caller_advisor advisor(asked.name);
        advisor.setReady(true, start);
        // The first one is the seed that all others have heard of.
        const std::vector<fleet_member> known = now == start ? std::vector{all.front(), asked} : all;
        const entry_advice advice = advisor.advise(known, regions, inZoneA, 64, milliseconds(5000), now, random);
        for (const fleet_member &named : advice.entries) {
            callers[named.name] += 1.0 / static_cast<double>(advice.entries.size());
        }
    }
    return callers;
}

double busiest(const std::map<std::string, double> &callers)
{
    return std::ranges::max_element(callers, {}, [](const auto &item) { return item.second; })->second;
}

}

Test(a_fleet_starts_all_at_once, callers_are_not_all_sent_to_the_seeds)
{
    const auto callers = callersPerEntry(start);
    cr_assert_eq(callers.size(), fleetSize);
    cr_assert_leq(busiest(callers), 2.0);
}

Test(a_fleet_starts_all_at_once, what_callers_are_told_then_is_kept_for_a_moment_only)
{
    random_source random(3);
    caller_advisor advisor("a0");
    advisor.setReady(true, start);
    const auto ready = entries("a", 5);
    const auto lifetimeAt = [&](time_point now) {
        return advisor.advise(ready, regions, inZoneA, 64, milliseconds(5000), now, random).lifetime;
    };
    cr_assert_eq(lifetimeAt(start), caller_advisor::settlingLifetime);
    cr_assert_eq(lifetimeAt(start + caller_advisor::settlingTime), milliseconds(5000));
}

Test(a_fleet_starts_all_at_once, all_entries_are_named_once_they_are_known)
{
    const auto callers = callersPerEntry(start + caller_advisor::settlingTime);
    cr_assert_eq(callers.size(), fleetSize);
    cr_assert_leq(busiest(callers), 1.1);
}

Test(a_fleet_starts_all_at_once, an_entry_that_cannot_serve_names_those_that_can)
{
    random_source random(3);
    caller_advisor advisor("a0");
    advisor.setReady(true, start);
    advisor.setReady(false, start);
    const auto others = entries("b", 3);
    cr_assert_eq(advisor.advise(others, regions, inZoneA, 64, milliseconds(5000), start, random).entries.size(), 3);
}
