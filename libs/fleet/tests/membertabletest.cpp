#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/readschedule.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <limits>

using namespace cardamomdeck;

namespace {

const time_point startTime{seconds(1000)};

fleet_member makeMember(const std::string &name, std::int64_t startMs = 100)
{
    return {name, "a", "10.0.0.1", startMs, true};
}

}

TestSuite(member_liveness);

Test(member_liveness, discovered_member_is_not_alive)
{
    member_table table(makeMember("e1"));
    table.recordDiscovered(makeMember("e2"), startTime);
    cr_assert_eq(table.alive(startTime).size(), 1);
    cr_assert_eq(table.peers().size(), 1);
}

Test(member_liveness, a_heartbeat_timeout_removes_a_member_until_its_next_heartbeat)
{
    member_table table(makeMember("e1"));
    cr_assert(table.recordHeartbeat(makeMember("e2"), startTime));
    cr_assert_not(table.recordHeartbeat(makeMember("e2"), startTime + milliseconds(400)));
    const time_point later = startTime + milliseconds(400) + member_table::heartbeatTimeout + milliseconds(1);
    cr_assert_eq(table.ready(later).size(), 1);
    cr_assert(table.recordHeartbeat(makeMember("e2"), later));
    cr_assert_eq(table.ready(later).size(), 2);
}

Test(member_liveness, earlier_incarnation_does_not_replace_later_one)
{
    member_table table(makeMember("e1"));
    table.recordHeartbeat(makeMember("e2", 200), startTime);
    fleet_member earlierIncarnation = makeMember("e2", 100);
    earlierIncarnation.ready = false;
    table.recordHeartbeat(earlierIncarnation, startTime);
    cr_assert_eq(table.ready(startTime).size(), 2);
}

Test(member_liveness, rank_counts_live_members_with_smaller_names)
{
    member_table table(makeMember("e5"));
    table.recordHeartbeat(makeMember("e1"), startTime);
    table.recordHeartbeat(makeMember("e9"), startTime);
    table.recordDiscovered(makeMember("e2"), startTime);
    cr_assert_eq(table.rank(startTime), 1);
}

TestSuite(gossip_in_large_fleet);

namespace {

/** Tables of @p count members in three zones that have discovered each other. */
std::vector<member_table> makeFleet(int count)
{
    std::vector<fleet_member> members;
    for (int i = 0; i < count; ++i) {
        fleet_member fleetMember = makeMember("e" + std::to_string(100 + i));
        fleetMember.zone = std::string(1, static_cast<char>('a' + i % 3));
        members.push_back(fleetMember);
    }
    std::vector<member_table> tables;
    for (const fleet_member &self : members) {
        member_table table(self);
        for (const fleet_member &other : members) {
            table.recordDiscovered(other, startTime);
        }
        tables.push_back(table);
    }
    return tables;
}

/**
 * Simulates one heartbeat interval among the first @p live members; returns the number of datagrams that crossed zones.
 */
int simulateHeartbeatPeriod(std::vector<member_table> &tables, std::size_t live, time_point now, random_source &random)
{
    int crossed = 0;
    for (std::size_t i = 0; i < live; ++i) {
        const auto sameZoneGossip = tables[i].nextGossipedMembers(20, now);
        const auto crossZoneGossip = tables[i].nextZoneGossipedMembers(40, now);
        for (const fleet_member &target : tables[i].heartbeatTargets(now, random)) {
            const bool crossesZone = target.zone != tables[i].self().zone;
            crossed += crossesZone ? 1 : 0;
            for (std::size_t j = 0; j < live; ++j) {
                if (tables[j].self().name != target.name) {
                    continue;
                }
                tables[j].recordHeartbeat(tables[i].self(), now);
                for (const gossiped_member &gossiped : crossesZone ? crossZoneGossip : sameZoneGossip) {
                    tables[j].recordGossip(gossiped.member, now - gossiped.age, now);
                }
            }
        }
    }
    return crossed;
}

}

Test(gossip_in_large_fleet, live_members_are_known_and_dead_member_is_detected)
{
    std::vector<member_table> tables = makeFleet(117);
    random_source random(3);
    time_point now = startTime;
    int crossed = 0;
    for (int period = 0; period < 30; ++period) {
        now += milliseconds(400);
        crossed = simulateHeartbeatPeriod(tables, tables.size(), now, random);
    }
    for (const member_table &table : tables) {
        cr_assert_eq(table.alive(now).size(), tables.size());
    }
    cr_assert_leq(crossed, 12);
    for (int period = 0; period < 30; ++period) {
        now += milliseconds(400);
        simulateHeartbeatPeriod(tables, tables.size() - 1, now, random);
    }
    cr_assert_eq(tables.front().alive(now).size(), tables.size() - 1);
}

TestSuite(clock_set_back_between_restarts);

Test(clock_set_back_between_restarts, a_restarted_member_raises_its_incarnation_and_is_accepted)
{
    member_table peer(makeMember("e1"));
    fleet_member shuttingDownMember = makeMember("e2", 5000);
    shuttingDownMember.ready = false;
    peer.recordHeartbeat(shuttingDownMember, startTime);
    const fleet_member restarted = makeMember("e2", 3000);
    member_table restartedTable(restarted);
    peer.recordHeartbeat(restartedTable.self(), startTime + milliseconds(100));
    cr_assert_eq(peer.ready(startTime + milliseconds(100)).size(), 1);
    const auto later = peer.laterIncarnation(restartedTable.self());
    cr_assert(later.has_value());
    restartedTable.recordGossip(*later, startTime + milliseconds(101), startTime + milliseconds(101));
    cr_assert(peer.recordHeartbeat(restartedTable.self(), startTime + milliseconds(102)));
    cr_assert_eq(peer.ready(startTime + milliseconds(102)).size(), 2);
    cr_assert_not(peer.laterIncarnation(restartedTable.self()).has_value());
}

Test(clock_set_back_between_restarts, own_discovered_record_raises_incarnation)
{
    member_table restartedTable(makeMember("e2", 3000));
    restartedTable.recordDiscovered(makeMember("e2", 5000), startTime);
    cr_assert_gt(restartedTable.self().startUnixMs, 5000);
}

// Guards against a damaged message that raises the entry's own start, in the end up to an overflow.
Test(clock_set_back_between_restarts, implausible_start_of_the_own_name_is_ignored)
{
    member_table table(makeMember("e2", 3000));
    for (const std::int64_t start : {std::numeric_limits<std::int64_t>::max(), std::int64_t{4'000'000'000'000}}) {
        table.recordHeartbeat(makeMember("e2", start), startTime);
        table.recordGossip(makeMember("e2", start), startTime, startTime);
        table.recordDiscovered(makeMember("e2", start), startTime);
        cr_assert_eq(table.self().startUnixMs, 3000);
    }
    cr_assert(table.peers().empty());
}

Test(clock_set_back_between_restarts, heartbeats_of_an_older_incarnation_change_nothing)
{
    member_table peer(makeMember("e1"));
    peer.recordHeartbeat(makeMember("e2", 5000), startTime);
    cr_assert_not(peer.recordHeartbeat(makeMember("e2", 3000), startTime + milliseconds(400)));
}

TestSuite(member_shutdown_in_large_fleet);

Test(member_shutdown_in_large_fleet, older_gossip_does_not_make_member_ready_again)
{
    member_table table(makeMember("e1"));
    const fleet_member ready = makeMember("e2");
    fleet_member shuttingDownMember = ready;
    shuttingDownMember.ready = false;
    shuttingDownMember.shuttingDown = true;
    table.recordHeartbeat(ready, startTime);
    cr_assert(table.recordHeartbeat(shuttingDownMember, startTime + milliseconds(100)));
    table.recordGossip(ready, startTime + milliseconds(50), startTime + milliseconds(200));
    cr_assert_eq(table.ready(startTime + milliseconds(200)).size(), 1);
    cr_assert_not(table.recordHeartbeat(ready, startTime + milliseconds(300)));
    cr_assert_eq(table.ready(startTime + milliseconds(300)).size(), 1);
}

Test(member_shutdown_in_large_fleet, older_gossip_does_not_make_ready_member_unready)
{
    member_table table(makeMember("e1"));
    fleet_member starting = makeMember("e2");
    starting.ready = false;
    table.recordHeartbeat(starting, startTime);
    table.recordHeartbeat(makeMember("e2"), startTime + milliseconds(100));
    table.recordGossip(starting, startTime, startTime + milliseconds(200));
    cr_assert_eq(table.ready(startTime + milliseconds(200)).size(), 2);
}

Test(member_shutdown_in_large_fleet, next_incarnation_is_ready)
{
    member_table table(makeMember("e1"));
    fleet_member shuttingDownMember = makeMember("e2", 100);
    shuttingDownMember.ready = false;
    shuttingDownMember.shuttingDown = true;
    table.recordHeartbeat(shuttingDownMember, startTime);
    table.recordHeartbeat(makeMember("e2", 200), startTime + milliseconds(900));
    cr_assert_eq(table.ready(startTime + milliseconds(900)).size(), 2);
}

TestSuite(rank_by_read_capacity);

Test(rank_by_read_capacity, member_with_higher_read_capacity_ranks_first)
{
    constexpr double smallLink = 10;
    constexpr double largeLink = 200;
    fleet_member small = makeMember("a-small");
    small.readCapacity = estimateReadCapacity(0.1, smallLink);
    fleet_member large = makeMember("z-large");
    large.readCapacity = estimateReadCapacity(0.5, largeLink);
    cr_assert(hasHigherRank(large, small));
    member_table ofSmall(small);
    ofSmall.recordHeartbeat(large, startTime);
    cr_assert_eq(ofSmall.rank(startTime), 1);
    member_table ofLarge(large);
    ofLarge.recordHeartbeat(small, startTime);
    cr_assert_eq(ofLarge.rank(startTime), 0);
}

Test(rank_by_read_capacity, equal_read_capacity_is_ordered_by_name)
{
    cr_assert(hasHigherRank(makeMember("e1"), makeMember("e2")));
    cr_assert_not(hasHigherRank(makeMember("e2"), makeMember("e1")));
}

Test(rank_by_read_capacity, scarcer_resource_limits_read_capacity)
{
    cr_assert_eq(estimateReadCapacity(0.1, 1000), estimateReadCapacity(0.1, 100));
    cr_assert_eq(estimateReadCapacity(0.5, 10), estimateReadCapacity(8, 10));
    // 3000 backend servers send 2000 reports per second: a link of 10 Mbit/s barely carries them, one of 200 Mbit/s
    // easily.
    cr_assert_lt(estimateReadCapacity(0.5, 10), 4000);
    cr_assert_gt(estimateReadCapacity(0.5, 200), 20'000);
}
