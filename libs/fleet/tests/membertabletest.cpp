#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/readschedule.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};

fleet_member member(const std::string &name, std::int64_t bornMs = 100)
{
    return {name, "a", "10.0.0.1", bornMs, true};
}

}

TestSuite(members_are_heard);

Test(members_are_heard, one_that_was_only_learned_of_is_not_alive)
{
    member_table table(member("e1"));
    table.learned(member("e2"), start);
    cr_assert_eq(table.alive(start).size(), 1);
    cr_assert_eq(table.peers().size(), 1);
}

Test(members_are_heard, silence_takes_one_out_until_it_is_heard_again)
{
    member_table table(member("e1"));
    cr_assert(table.heard(member("e2"), start));
    cr_assert_not(table.heard(member("e2"), start + milliseconds(400)));
    const time_point later = start + milliseconds(400) + member_table::silenceLimit + milliseconds(1);
    cr_assert_eq(table.ready(later).size(), 1);
    cr_assert(table.heard(member("e2"), later));
    cr_assert_eq(table.ready(later).size(), 2);
}

Test(members_are_heard, a_message_of_an_earlier_incarnation_does_not_replace_a_later_one)
{
    member_table table(member("e1"));
    table.heard(member("e2", 200), start);
    fleet_member old = member("e2", 100);
    old.ready = false;
    table.heard(old, start);
    cr_assert_eq(table.ready(start).size(), 2);
}

Test(members_are_heard, the_rank_counts_live_members_with_smaller_names)
{
    member_table table(member("e5"));
    table.heard(member("e1"), start);
    table.heard(member("e9"), start);
    table.learned(member("e2"), start);
    cr_assert_eq(table.rank(start), 1);
}

TestSuite(a_large_fleet_gossips);

namespace {

/** Tables of @p count members of three zones that have learned of each other. */
std::vector<member_table> makeFleet(int count)
{
    std::vector<fleet_member> members;
    for (int i = 0; i < count; ++i) {
        fleet_member one = member("e" + std::to_string(100 + i));
        one.zone = std::string(1, static_cast<char>('a' + i % 3));
        members.push_back(one);
    }
    std::vector<member_table> tables;
    for (const fleet_member &self : members) {
        member_table table(self);
        for (const fleet_member &other : members) {
            table.learned(other, start);
        }
        tables.push_back(table);
    }
    return tables;
}

/** One period of heartbeats among the first @p live members; returns the datagrams that crossed zones. */
int beat(std::vector<member_table> &tables, std::size_t live, time_point now, random_source &random)
{
    int crossed = 0;
    for (std::size_t i = 0; i < live; ++i) {
        const auto near = tables[i].sightings(20, now);
        const auto far = tables[i].zoneSightings(40, now);
        for (const fleet_member &target : tables[i].heartbeatTargets(now, random)) {
            const bool crosses = target.zone != tables[i].self().zone;
            crossed += crosses ? 1 : 0;
            for (std::size_t j = 0; j < live; ++j) {
                if (tables[j].self().name != target.name) {
                    continue;
                }
                tables[j].heard(tables[i].self(), now);
                for (const member_sighting &sighting : crosses ? far : near) {
                    tables[j].sighted(sighting.member, now - sighting.age, now);
                }
            }
        }
    }
    return crossed;
}

}

Test(a_large_fleet_gossips, all_members_are_known_alive_and_a_dead_one_is_noticed)
{
    std::vector<member_table> tables = makeFleet(117);
    random_source random(3);
    time_point now = start;
    int crossed = 0;
    for (int period = 0; period < 30; ++period) {
        now += milliseconds(400);
        crossed = beat(tables, tables.size(), now, random);
    }
    for (const member_table &table : tables) {
        cr_assert_eq(table.alive(now).size(), tables.size());
    }
    cr_assert_leq(crossed, 12);
    for (int period = 0; period < 30; ++period) {
        now += milliseconds(400);
        beat(tables, tables.size() - 1, now, random);
    }
    cr_assert_eq(tables.front().alive(now).size(), tables.size() - 1);
}

TestSuite(the_time_of_day_was_set_back_between_two_starts);

Test(the_time_of_day_was_set_back_between_two_starts, the_later_start_is_told_and_then_believed)
{
    member_table peer(member("e1"));
    fleet_member leaving = member("e2", 5000);
    leaving.ready = false;
    peer.heard(leaving, start);
    const fleet_member restarted = member("e2", 3000);
    member_table own(restarted);
    peer.heard(own.self(), start + milliseconds(100));
    cr_assert_eq(peer.ready(start + milliseconds(100)).size(), 1);
    const auto later = peer.laterIncarnation(own.self());
    cr_assert(later.has_value());
    own.sighted(*later, start + milliseconds(101), start + milliseconds(101));
    cr_assert(peer.heard(own.self(), start + milliseconds(102)));
    cr_assert_eq(peer.ready(start + milliseconds(102)).size(), 2);
    cr_assert_not(peer.laterIncarnation(own.self()).has_value());
}

Test(the_time_of_day_was_set_back_between_two_starts, an_answer_that_names_the_earlier_start_tells_it_too)
{
    member_table own(member("e2", 3000));
    own.learned(member("e2", 5000), start);
    cr_assert_gt(own.self().bornMs, 5000);
}

Test(the_time_of_day_was_set_back_between_two_starts, heartbeats_that_are_not_believed_yet_are_no_news)
{
    member_table peer(member("e1"));
    peer.heard(member("e2", 5000), start);
    cr_assert_not(peer.heard(member("e2", 3000), start + milliseconds(400)));
}

TestSuite(a_member_leaves_a_large_fleet);

Test(a_member_leaves_a_large_fleet, older_sightings_do_not_make_it_ready_again)
{
    member_table table(member("e1"));
    const fleet_member ready = member("e2");
    fleet_member leaving = ready;
    leaving.ready = false;
    leaving.leaving = true;
    table.heard(ready, start);
    cr_assert(table.heard(leaving, start + milliseconds(100)));
    table.sighted(ready, start + milliseconds(50), start + milliseconds(200));
    cr_assert_eq(table.ready(start + milliseconds(200)).size(), 1);
    cr_assert_not(table.heard(ready, start + milliseconds(300)));
    cr_assert_eq(table.ready(start + milliseconds(300)).size(), 1);
}

Test(a_member_leaves_a_large_fleet, older_sightings_of_a_start_do_not_make_a_ready_one_unready)
{
    member_table table(member("e1"));
    fleet_member starting = member("e2");
    starting.ready = false;
    table.heard(starting, start);
    table.heard(member("e2"), start + milliseconds(100));
    table.sighted(starting, start, start + milliseconds(200));
    cr_assert_eq(table.ready(start + milliseconds(200)).size(), 2);
}

Test(a_member_leaves_a_large_fleet, its_next_start_is_ready)
{
    member_table table(member("e1"));
    fleet_member leaving = member("e2", 100);
    leaving.ready = false;
    leaving.leaving = true;
    table.heard(leaving, start);
    table.heard(member("e2", 200), start + milliseconds(900));
    cr_assert_eq(table.ready(start + milliseconds(900)).size(), 2);
}

TestSuite(somebody_reads_for_a_fleet_of_unequal_machines);

Test(somebody_reads_for_a_fleet_of_unequal_machines, a_machine_with_more_processor_and_link_comes_first)
{
    constexpr double smallLink = 10;
    constexpr double largeLink = 200;
    fleet_member small = member("a-small");
    small.readCapacity = reportsPerSecond(0.1, smallLink);
    fleet_member large = member("z-large");
    large.readCapacity = reportsPerSecond(0.5, largeLink);
    cr_assert(comesBefore(large, small));
    member_table ofSmall(small);
    ofSmall.heard(large, start);
    cr_assert_eq(ofSmall.rank(start), 1);
    member_table ofLarge(large);
    ofLarge.heard(small, start);
    cr_assert_eq(ofLarge.rank(start), 0);
}

Test(somebody_reads_for_a_fleet_of_unequal_machines, equal_ones_come_by_name)
{
    cr_assert(comesBefore(member("e1"), member("e2")));
    cr_assert_not(comesBefore(member("e2"), member("e1")));
}

Test(somebody_reads_for_a_fleet_of_unequal_machines, the_scarcer_of_processor_and_link_counts)
{
    cr_assert_eq(reportsPerSecond(0.1, 1000), reportsPerSecond(0.1, 100));
    cr_assert_eq(reportsPerSecond(0.5, 10), reportsPerSecond(8, 10));
    // 3000 back ends report 2000 times a second: a link of 10 Mbit/s bears that hardly, one of 200 easily.
    cr_assert_lt(reportsPerSecond(0.5, 10), 4000);
    cr_assert_gt(reportsPerSecond(0.5, 200), 20'000);
}
