#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(relayed_updates);

namespace {

/** State of an entry in a fleet of @p size that has received a heartbeat of every other member. */
fleet_state makeStateWithPeers(const std::string &name, std::size_t size)
{
    fleet_state entry(makeMember(name));
    for (std::size_t i = 0; i + 1 < size; ++i) {
        entry.applyHeartbeat(makeHeartbeat("m" + std::to_string(i)), startTime);
    }
    return entry;
}

std::vector<backend_record> makeBackendRecords(store_offset count)
{
    std::vector<backend_record> records;
    for (store_offset offset = 0; offset < count; ++offset) {
        records.push_back(makeBackendRecord("s" + std::to_string(offset), offset));
    }
    return records;
}

}

Test(relayed_updates, new_configuration_is_relayed_only_in_large_fleet)
{
    fleet_state large = makeStateWithPeers("e1", 30);
    large.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const view_position before = large.position();
    cr_assert_not(large.makeViewUpdate(before, startTime).has_value());
    large.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    cr_assert(large.makeViewUpdate(before, startTime).has_value());
    fleet_state small = makeStateWithPeers("e1", 15);
    small.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    cr_assert_not(small.makeViewUpdate(before, startTime).has_value());
}

Test(relayed_updates, first_view_of_entry_is_not_relayed)
{
    fleet_state entry = makeStateWithPeers("e1", 300);
    const view_position before = entry.position();
    entry.applyStoreRead(makeStoreRead(startTime, 3, makeBackendRecords(3000)), startTime);
    cr_assert_not(entry.makeViewUpdate(before, startTime).has_value());
}

Test(relayed_updates, receiver_reaches_announced_view_age)
{
    fleet_state reader = makeStateWithPeers("e1", 30);
    fleet_state peer = makeStateWithPeers("e2", 30);
    reader.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    peer.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const view_position before = reader.position();
    const time_point readAt = startTime + milliseconds(700);
    reader.applyStoreRead(makeStoreRead(readAt, 4, makeBackendRecords(20)), readAt);
    const time_point later = readAt + milliseconds(30);
    cr_assert(peer.applyHeartbeat(reader.heartbeatWithChanges(before, later), later).shouldRequestView);
    cr_assert(peer.applyViewUpdate(*reader.makeViewUpdate(before, later), makeConfig(4), later + milliseconds(40)));
    cr_assert(peer.position() == reader.position());
    cr_assert_eq(peer.view(later)->backends->at("lots").size(), 20);
    cr_assert_geq(peer.freshAt(), readAt - milliseconds(1));
    cr_assert_leq(peer.freshAt(), readAt);
}

Test(relayed_updates, update_after_gap_does_not_advance_position)
{
    fleet_state reader = makeStateWithPeers("e1", 30);
    fleet_state peer = makeStateWithPeers("e2", 30);
    peer.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    reader.applyStoreRead(makeStoreRead(startTime, 3, makeBackendRecords(20)), startTime);
    const view_position before = reader.position();
    std::vector<backend_record> laterRecords;
    for (store_offset offset = 20; offset < 40; ++offset) {
        laterRecords.push_back(makeBackendRecord("t" + std::to_string(offset), offset));
    }
    const time_point readAt = startTime + milliseconds(700);
    reader.applyStoreRead(makeStoreRead(readAt, 4, laterRecords), readAt);
    cr_assert(peer.applyViewUpdate(*reader.makeViewUpdate(before, readAt), makeConfig(4), readAt));
    cr_assert_eq(peer.view(readAt)->config->version, 4);
    cr_assert(peer.view(readAt)->backends->empty());
    cr_assert_not(peer.isUpToDateWith(reader.position()));
    cr_assert_leq(peer.freshAt(), startTime);
}

// Guards against a view that counts as current for longer: its age was counted from the request, not from the
// heartbeat.
Test(relayed_updates, delay_of_the_view_request_does_not_refresh_the_view)
{
    fleet_state reader = makeStateWithPeers("e1", 30);
    fleet_state peer = makeStateWithPeers("e2", 30);
    reader.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    peer.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point readAt = startTime + milliseconds(700);
    reader.applyStoreRead(makeStoreRead(readAt, 4, makeBackendRecords(20)), readAt);
    const time_point heardAt = readAt + milliseconds(30);
    const auto result = peer.applyHeartbeat(reader.basicHeartbeat(heardAt), heardAt);
    cr_assert(result.shouldRequestView);
    const time_point requestedAt = heardAt + milliseconds(400);
    const view_response response = reader.makeViewResponse(peer.makeViewRequest(), requestedAt);
    peer.applyViewResponse(response, makeConfig(4), result.announcedFreshAt, requestedAt);
    cr_assert_eq(peer.view(requestedAt)->backends->at("lots").size(), 20);
    cr_assert_leq(peer.freshAt(), readAt);
}

TestSuite(one_relay_at_a_time);

namespace {

std::vector<backend_record> makeBackendRecords(store_offset first, store_offset end)
{
    std::vector<backend_record> records = makeBackendRecords(end);
    records.erase(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(first));
    return records;
}

/** Two entries of a large fleet that know the same; the first one then reads 20 servers and relays them. */
struct relaying_fleet
{
    fleet_state first = makeStateWithPeers("e1", 30);
    fleet_state second = makeStateWithPeers("e2", 30);
    time_point readAt = startTime + milliseconds(700);
    heartbeat_message heartbeat;
    view_update update;

    relaying_fleet()
    {
        first.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
        second.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
        second.applyHeartbeat(makeHeartbeat("e1"), startTime);
        const view_position before = first.position();
        first.applyStoreRead(makeStoreRead(readAt, 3, makeBackendRecords(20)), readAt);
        const auto announcement = first.announceChanges(before, readAt);
        heartbeat = announcement->heartbeat;
        update = *announcement->update;
    }

    /** Lets the second entry read the servers up to @p end, and returns what it passes on. */
    std::optional<fleet_state::change_announcement> readAtSecond(store_offset first, store_offset end, time_point now)
    {
        const view_position before = second.position();
        second.applyStoreRead(makeStoreRead(now, 3, makeBackendRecords(first, end)), now);
        return second.announceChanges(before, now);
    }
};

}

// Guards against a fleet of hundreds of entries in which each one that reads the store relays the same changes: the
// copies crowded the links of small VMs, so that no update was confirmed and ever more entries read for themselves.
Test(one_relay_at_a_time, changes_are_not_relayed_while_another_entry_relays)
{
    relaying_fleet fleet;
    cr_assert(fleet.heartbeat.relayed);
    fleet.second.applyHeartbeat(fleet.heartbeat, fleet.readAt);
    const time_point last = fleet.readAt + fleet_state::relayTime - milliseconds(1);
    cr_assert_not(fleet.readAtSecond(0, 40, last).has_value());
    cr_assert_eq(fleet.second.view(last)->backends->at("lots").size(), 40);
}

Test(one_relay_at_a_time, next_relay_contains_what_was_not_relayed)
{
    relaying_fleet fleet;
    fleet_state third = makeStateWithPeers("e3", 30);
    third.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    third.applyHeartbeat(fleet.heartbeat, fleet.readAt);
    third.applyViewUpdate(fleet.update, std::nullopt, fleet.readAt);
    fleet.second.applyHeartbeat(fleet.heartbeat, fleet.readAt);
    fleet.readAtSecond(0, 40, fleet.readAt + milliseconds(100));
    const time_point next = fleet.readAt + fleet_state::relayTime;
    const auto announcement = fleet.readAtSecond(40, 60, next);
    cr_assert(announcement->update.has_value());
    cr_assert(announcement->heartbeat.relayed);
    cr_assert(third.applyViewUpdate(*announcement->update, std::nullopt, next));
    cr_assert_eq(third.view(next)->backends->at("lots").size(), 60);
    cr_assert(third.isUpToDateWith(fleet.second.position()));
}

Test(one_relay_at_a_time, few_changes_and_configurations_are_passed_on_at_once)
{
    relaying_fleet fleet;
    fleet.second.applyHeartbeat(fleet.heartbeat, fleet.readAt);
    fleet.second.applyViewUpdate(fleet.update, std::nullopt, fleet.readAt);
    const time_point soon = fleet.readAt + milliseconds(10);
    const auto few = fleet.readAtSecond(20, 23, soon);
    cr_assert(few.has_value() && few->heartbeat.changes.has_value() && !few->update);
    const view_position before = fleet.second.position();
    fleet.second.applyStoreRead(makeStoreRead(soon, 4, makeBackendRecords(23, 60)), soon);
    cr_assert(fleet.second.announceChanges(before, soon)->update.has_value());
}

Test(one_relay_at_a_time, read_waits_for_an_update_that_is_under_way)
{
    relaying_fleet fleet;
    const time_point dueAt = fleet.second.nextRead(fleet.readAt);
    fleet.second.applyHeartbeat(fleet.heartbeat, fleet.readAt);
    cr_assert_eq(fleet.second.nextRead(fleet.readAt), dueAt + fleet_state::maxReadDelay);
    // Further announcements do not delay it any more, so the view does not become too old.
    fleet.second.applyHeartbeat(fleet.heartbeat, dueAt);
    cr_assert_eq(fleet.second.nextRead(dueAt), dueAt + fleet_state::maxReadDelay);
}

Test(one_relay_at_a_time, read_after_a_pause_of_the_process_does_not_wait)
{
    relaying_fleet fleet;
    fleet.second.applyHeartbeat(fleet.heartbeat, fleet.readAt);
    fleet.second.recordProcessResumed(fleet.readAt);
    cr_assert_leq(fleet.second.nextRead(fleet.readAt), fleet.readAt);
}
