#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(initial_backend_listing);

namespace {

/** A first reading at @p at that lists @p count servers, whose last reports begin at offset @p from. */
store_read_result makeListing(time_point at, store_offset from, store_offset count)
{
    std::vector<backend_record> records;
    for (store_offset i = 0; i < count; ++i) {
        records.push_back(makeBackendRecord("s" + std::to_string(i), from + i));
    }
    store_read_result value = makeStoreRead(at, 3, records);
    value.completeListing = true;
    return value;
}

}

Test(initial_backend_listing, a_later_listing_is_no_reason_to_ask_for_all_servers)
{
    fleet_state early(makeMember("e1"));
    early.noteMembershipKnown();
    fleet_state late(makeMember("e2"));
    early.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    late.applyStoreRead(makeListing(startTime + milliseconds(300), 700, 50), startTime + milliseconds(300));
    const time_point now = startTime + milliseconds(310);
    cr_assert_not(early.applyHeartbeat(late.basicHeartbeat(now), now).shouldRequestView);
    cr_assert_eq(early.freshAt(), startTime);
}

Test(initial_backend_listing, the_senders_age_counts_once_its_position_is_reached)
{
    fleet_state early(makeMember("e1"));
    early.noteMembershipKnown();
    fleet_state late(makeMember("e2"));
    early.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    late.applyStoreRead(makeListing(startTime + milliseconds(300), 700, 50), startTime + milliseconds(300));
    store_read_result nothingNew = makeStoreRead(startTime + milliseconds(900), 3, {});
    nothingNew.config.reset();
    nothingNew.backendsEndOffset = 900;
    early.applyStoreRead(nothingNew, startTime + milliseconds(900));
    late.applyStoreRead(nothingNew, startTime + milliseconds(950));
    const time_point now = startTime + milliseconds(1000);
    cr_assert_not(early.applyHeartbeat(late.basicHeartbeat(now), now).shouldRequestView);
    cr_assert_geq(early.freshAt(), startTime + milliseconds(890));
}

Test(initial_backend_listing, a_change_after_the_listing_is_asked_for)
{
    fleet_state early(makeMember("e1"));
    early.noteMembershipKnown();
    fleet_state late(makeMember("e2"));
    early.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    late.applyStoreRead(makeListing(startTime + milliseconds(300), 700, 50), startTime + milliseconds(300));
    store_read_result change = makeStoreRead(startTime + milliseconds(900), 3, {{"s1", 800, std::nullopt}});
    late.applyStoreRead(change, startTime + milliseconds(900));
    const time_point now = startTime + milliseconds(910);
    cr_assert(early.applyHeartbeat(late.basicHeartbeat(now), now).shouldRequestView);
}

Test(initial_backend_listing, an_entry_without_a_view_asks_them)
{
    fleet_state listed(makeMember("e1"));
    fleet_state starting(makeMember("e2"));
    listed.applyStoreRead(makeListing(startTime, 100, 50), startTime);
    cr_assert(starting.applyHeartbeat(listed.basicHeartbeat(startTime), startTime).shouldRequestView);
}

TestSuite(readiness_requires_backends);

Test(readiness_requires_backends, callers_are_sent_to_it_when_the_servers_are_known_too)
{
    fleet_state entry(makeMember("e1"));
    store_read_result onlyRules = makeStoreRead(startTime, 3, {});
    onlyRules.backendsRead = false;
    onlyRules.completeListing = true;
    entry.applyStoreRead(onlyRules, startTime);
    cr_assert_not(entry.view(startTime)->ready);
    cr_assert(entry.view(startTime)->readyMembers.empty());
    store_read_result onlyServers = makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)});
    onlyServers.configRead = false;
    onlyServers.config.reset();
    entry.applyStoreRead(onlyServers, startTime);
    cr_assert(entry.view(startTime)->ready);
    cr_assert_eq(entry.view(startTime)->readyMembers.size(), 1);
}

TestSuite(restart_with_stale_peer);

Test(restart_with_stale_peer, the_peers_old_view_is_not_taken_while_the_store_answers)
{
    fleet_state cutOff(makeMember("e1"));
    cutOff.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("left", 0)}), startTime);
    fleet_state restarted(makeMember("e2"));
    const time_point now = startTime + seconds(30);
    cr_assert_not(restarted.applyHeartbeat(cutOff.basicHeartbeat(now), now).shouldRequestView);
    restarted.applyStoreRead(makeStoreRead(now, 7, {}), now);
    cr_assert_eq(restarted.view(now)->config->version, 7);
    cr_assert(restarted.view(now)->backends->empty());
}

Test(restart_with_stale_peer, the_peers_old_view_serves_when_nobody_reaches_the_store)
{
    fleet_state cutOff(makeMember("e1"));
    cutOff.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    fleet_state restarted(makeMember("e2"));
    const time_point now = startTime + seconds(30);
    restarted.applyStoreRead(makeFailedStoreRead(now), now);
    cr_assert(restarted.applyHeartbeat(cutOff.basicHeartbeat(now), now).shouldRequestView);
}
