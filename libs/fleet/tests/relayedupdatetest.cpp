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
