#include "fleetfixture.h"

using namespace cardamomdeck;

// A server may turn cold again without a restart. Its report reaches only the entry that reads it, unless it counts as
// a change of the view, and the others would go on to send as much as to a warm server.

namespace {

backend_record makeWarmupReport(store_offset offset, time_point warmupEndsAt)
{
    backend_record record = makeBackendRecord("s", offset);
    record.server->warmupEndsAt = warmupEndsAt;
    return record;
}

store_read_result makeReadWithLimit(time_point at, std::uint64_t version, double requestsPerSecond)
{
    store_read_result read = makeStoreRead(at, version, {makeWarmupReport(0, at)});
    read.config->config.services["lots"].warmupRequestsPerSecond = requestsPerSecond;
    return read;
}

time_point warmupEndIn(const fleet_state &state, time_point now)
{
    return state.view(now)->backends->at("lots").at("s").warmupEndsAt;
}

}

TestSuite(warm_up_reports);

Test(warm_up_reports, server_that_turns_cold_reaches_peers_in_the_announcement)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeReadWithLimit(startTime, 3, 5.8), startTime);
    peer.applyStoreRead(makeReadWithLimit(startTime, 3, 5.8), startTime);
    const time_point later = startTime + seconds(20);
    const view_position before = reader.position();
    store_read_result read = makeStoreRead(later, 3, {makeWarmupReport(7, later + seconds(3))});
    read.config.reset();
    cr_assert(reader.applyStoreRead(read, later));
    const auto announcement = reader.announceChanges(before, later);
    cr_assert(peer.applyHeartbeat(announcement->heartbeat, later).viewChanged);
    cr_assert_eq(warmupEndIn(peer, later), later + seconds(3));
}

Test(warm_up_reports, later_reports_of_one_warm_up_are_no_change)
{
    backend_registry registry;
    registry.setWarmupLimitedServices({"lots"});
    registry.apply(makeWarmupReport(0, startTime + seconds(3)), startTime);
    // Read later after it was written than the first one.
    const time_point now = startTime + seconds(1);
    cr_assert_not(registry.apply(makeWarmupReport(1, startTime + milliseconds(4300)), now));
    // A server that is not cold reports no remaining time, whenever that is read.
    const time_point warm = startTime + seconds(60);
    cr_assert_not(registry.apply(makeWarmupReport(2, warm), warm));
}

Test(warm_up_reports, services_without_limit_cause_no_message)
{
    fleet_state reader(makeMember("e1"));
    reader.applyStoreRead(makeReadWithLimit(startTime, 3, 0), startTime);
    const view_position before = reader.position();
    const time_point later = startTime + seconds(20);
    store_read_result read = makeStoreRead(later, 3, {makeWarmupReport(7, later + seconds(3))});
    read.config.reset();
    cr_assert_not(reader.applyStoreRead(read, later));
    cr_assert_not(reader.announceChanges(before, later)->heartbeat.changes);
}

Test(warm_up_reports, limit_that_is_configured_later_applies_to_reported_warm_ups)
{
    backend_registry registry;
    registry.apply(makeWarmupReport(0, startTime), startTime);
    cr_assert_eq(registry.usable()->at("lots").at("s").warmupEndsAt, startTime);
    const time_point later = startTime + seconds(20);
    registry.apply(makeWarmupReport(1, later + seconds(3)), later);
    registry.setWarmupLimitedServices({"lots"});
    cr_assert_eq(registry.usable()->at("lots").at("s").warmupEndsAt, later + seconds(3));
}
