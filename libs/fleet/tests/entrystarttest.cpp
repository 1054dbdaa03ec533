#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(initial_backend_listing);

namespace {

/** An initial listing at @p at with @p count servers, whose latest reports have the offsets from @p from on. */
store_read_result makeListing(time_point at, store_offset from, store_offset count)
{
    std::vector<backend_record> records;
    for (store_offset i = 0; i < count; ++i) {
        records.push_back(makeBackendRecord("s" + std::to_string(i), from + i));
    }
    store_read_result readResult = makeStoreRead(at, 3, records);
    readResult.completeListing = true;
    return readResult;
}

}

Test(initial_backend_listing, later_listing_causes_no_view_request)
{
    fleet_state early(makeMember("e1"));
    early.recordMembershipKnown();
    fleet_state late(makeMember("e2"));
    early.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    late.applyStoreRead(makeListing(startTime + milliseconds(300), 700, 50), startTime + milliseconds(300));
    const time_point now = startTime + milliseconds(310);
    cr_assert_not(early.applyHeartbeat(late.basicHeartbeat(now), now).shouldRequestView);
    cr_assert_eq(early.freshAt(), startTime);
}

Test(initial_backend_listing, sender_view_age_applies_once_its_position_is_reached)
{
    fleet_state early(makeMember("e1"));
    early.recordMembershipKnown();
    fleet_state late(makeMember("e2"));
    early.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    late.applyStoreRead(makeListing(startTime + milliseconds(300), 700, 50), startTime + milliseconds(300));
    store_read_result emptyRead = makeStoreRead(startTime + milliseconds(900), 3, {});
    emptyRead.config.reset();
    emptyRead.backendsEnd = 900;
    early.applyStoreRead(emptyRead, startTime + milliseconds(900));
    late.applyStoreRead(emptyRead, startTime + milliseconds(950));
    const time_point now = startTime + milliseconds(1000);
    cr_assert_not(early.applyHeartbeat(late.basicHeartbeat(now), now).shouldRequestView);
    cr_assert_geq(early.freshAt(), startTime + milliseconds(890));
}

Test(initial_backend_listing, change_after_listing_causes_view_request)
{
    fleet_state early(makeMember("e1"));
    early.recordMembershipKnown();
    fleet_state late(makeMember("e2"));
    early.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    late.applyStoreRead(makeListing(startTime + milliseconds(300), 700, 50), startTime + milliseconds(300));
    store_read_result removal = makeStoreRead(startTime + milliseconds(900), 3, {{"s1", 800, std::nullopt}});
    late.applyStoreRead(removal, startTime + milliseconds(900));
    const time_point now = startTime + milliseconds(910);
    cr_assert(early.applyHeartbeat(late.basicHeartbeat(now), now).shouldRequestView);
}

Test(initial_backend_listing, entry_without_view_requests_view)
{
    fleet_state listed(makeMember("e1"));
    fleet_state starting(makeMember("e2"));
    listed.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    cr_assert(starting.applyHeartbeat(listed.basicHeartbeat(startTime), startTime).shouldRequestView);
}

TestSuite(readiness_requires_backends);

Test(readiness_requires_backends, entry_is_ready_only_with_config_and_backends)
{
    fleet_state entry(makeMember("e1"));
    store_read_result configOnly = makeStoreRead(startTime, 3, {});
    configOnly.backendsRead = false;
    configOnly.completeListing = true;
    entry.applyStoreRead(configOnly, startTime);
    cr_assert_not(entry.view(startTime)->ready);
    cr_assert(entry.view(startTime)->readyMembers.empty());
    store_read_result backendsOnly = makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)});
    backendsOnly.configRead = false;
    backendsOnly.config.reset();
    entry.applyStoreRead(backendsOnly, startTime);
    cr_assert(entry.view(startTime)->ready);
    cr_assert_eq(entry.view(startTime)->readyMembers.size(), 1);
}

TestSuite(restart_with_stale_peer);

Test(restart_with_stale_peer, stale_peer_view_is_not_used_while_store_is_available)
{
    fleet_state stalePeer(makeMember("e1"));
    stalePeer.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("left", 0)}), startTime);
    fleet_state restarted(makeMember("e2"));
    const time_point now = startTime + seconds(30);
    cr_assert_not(restarted.applyHeartbeat(stalePeer.basicHeartbeat(now), now).shouldRequestView);
    restarted.applyStoreRead(makeStoreRead(now, 7, {}), now);
    cr_assert_eq(restarted.view(now)->config->version, 7);
    cr_assert(restarted.view(now)->backends->empty());
}

Test(restart_with_stale_peer, stale_peer_view_is_used_after_failed_store_read)
{
    fleet_state stalePeer(makeMember("e1"));
    stalePeer.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    fleet_state restarted(makeMember("e2"));
    const time_point now = startTime + seconds(30);
    restarted.applyStoreRead(makeFailedStoreRead(now), now);
    cr_assert(restarted.applyHeartbeat(stalePeer.basicHeartbeat(now), now).shouldRequestView);
}
