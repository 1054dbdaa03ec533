#include "cardamomdeck/fleet/backendregistry.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

std::map<std::string, backend_server> usableIn(const backend_registry &registry)
{
    std::map<std::string, backend_server> servers;
    for (const auto &[service, members] : *registry.usable()) {
        servers.insert(members.begin(), members.end());
    }
    return servers;
}

const time_point startTime{seconds(1000)};

backend_server makeServer(const std::string &id, std::int64_t startMs, std::uint64_t sequence)
{
    backend_server server;
    server.id = id;
    server.service = "lots";
    server.zone = "a";
    server.address = {"10.0.0.1", 80};
    server.slots = 2;
    server.startUnixMs = startMs;
    server.sequence = sequence;
    return server;
}

backend_record makeReport(store_offset offset, backend_server server)
{
    return {server.id, offset, server};
}

backend_server makeDraining(backend_server server)
{
    server.draining = true;
    return server;
}

}

TestSuite(backend_reports);

Test(backend_reports, first_report_makes_server_usable)
{
    backend_registry registry;
    cr_assert(registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime));
    cr_assert_eq(usableIn(registry).count("s"), 1);
}

Test(backend_reports, new_sequence_alone_is_no_change)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    cr_assert_not(registry.apply(makeReport(1, makeServer("s", 10, 2)), startTime));
    cr_assert_eq(registry.lastChange(), 0);
}

Test(backend_reports, draining_server_stays_unusable_despite_late_report)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    cr_assert(registry.apply(makeReport(1, makeDraining(makeServer("s", 10, 5))), startTime));
    cr_assert(usableIn(registry).empty());
    cr_assert_not(registry.apply(makeReport(2, makeServer("s", 10, 4)), startTime));
    cr_assert(usableIn(registry).empty());
}

Test(backend_reports, late_report_of_earlier_incarnation_is_ignored)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 20, 1)), startTime);
    cr_assert_not(registry.apply(makeReport(1, makeDraining(makeServer("s", 10, 99))), startTime));
    cr_assert_eq(usableIn(registry).at("s").startUnixMs, 20);
}

Test(backend_reports, restart_with_same_id_resets_sequence)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeDraining(makeServer("s", 10, 50))), startTime);
    cr_assert(registry.apply(makeReport(1, makeServer("s", 20, 1)), startTime));
    cr_assert_eq(usableIn(registry).count("s"), 1);
}

Test(backend_reports, duplicate_and_out_of_order_records_are_ignored)
{
    backend_registry registry;
    registry.apply(makeReport(7, makeDraining(makeServer("s", 10, 3))), startTime);
    cr_assert_not(registry.apply(makeReport(5, makeServer("s", 10, 4)), startTime));
    cr_assert_not(registry.apply(makeReport(7, makeDraining(makeServer("s", 10, 3))), startTime));
    cr_assert(usableIn(registry).empty());
}

TestSuite(backend_removal);

Test(backend_removal, removed_server_is_unusable_at_once)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    cr_assert(registry.apply({"s", 1, std::nullopt}, startTime));
    cr_assert(usableIn(registry).empty());
}

Test(backend_removal, late_report_from_before_removal_is_ignored)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 5)), startTime);
    registry.apply({"s", 1, std::nullopt}, startTime);
    cr_assert_not(registry.apply(makeReport(2, makeServer("s", 10, 4)), startTime));
    cr_assert(usableIn(registry).empty());
}

Test(backend_removal, server_missing_from_listing_is_removed)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    registry.apply(makeReport(1, makeServer("t", 10, 1)), startTime);
    cr_assert(registry.replaceAll({makeReport(3, makeServer("t", 10, 2))}, 4, startTime));
    cr_assert_eq(usableIn(registry).size(), 1);
    cr_assert_eq(registry.endPosition(), 4);
}

TestSuite(registrations_expire_during_store_outage);

Test(registrations_expire_during_store_outage, expired_server_is_usable_until_grace_period_ends)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    registry.recordStoreAvailable(startTime);
    cr_assert_not(registry.apply({"s", 1, std::nullopt}, startTime));
    cr_assert_eq(usableIn(registry).count("s"), 1);
    cr_assert_not(registry.endGracePeriods(startTime + backend_registry::expiryGracePeriod - milliseconds(1)));
    cr_assert(registry.endGracePeriods(startTime + backend_registry::expiryGracePeriod));
    cr_assert(usableIn(registry).empty());
}

Test(registrations_expire_during_store_outage, server_that_registers_again_stays_usable)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    registry.recordStoreAvailable(startTime);
    registry.apply({"s", 1, std::nullopt}, startTime);
    registry.apply(makeReport(2, makeServer("s", 10, 2)), startTime);
    registry.endGracePeriods(startTime + backend_registry::expiryGracePeriod);
    cr_assert_eq(usableIn(registry).count("s"), 1);
}

Test(registrations_expire_during_store_outage, draining_server_gets_no_grace_period)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeDraining(makeServer("s", 10, 1))), startTime);
    registry.recordStoreAvailable(startTime);
    registry.apply({"s", 1, std::nullopt}, startTime);
    cr_assert(usableIn(registry).empty());
}

TestSuite(changes_for_peers);

Test(changes_for_peers, only_effective_changes_are_returned)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    registry.apply(makeReport(1, makeServer("t", 10, 1)), startTime);
    registry.apply(makeReport(2, makeServer("s", 10, 2)), startTime);
    const auto records = registry.changesSince(1);
    cr_assert_eq(records.size(), 1);
    cr_assert_eq(records.front().id, "t");
}

Test(changes_for_peers, peer_that_applies_changes_has_same_servers)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    registry.apply(makeReport(1, makeServer("t", 10, 1)), startTime);
    registry.apply({"s", 2, std::nullopt}, startTime);
    backend_registry peer;
    for (const backend_record &record : registry.changesSince(0)) {
        peer.apply(record, startTime);
    }
    cr_assert(usableIn(peer) == usableIn(registry));
}

TestSuite(usable_servers_snapshot);

Test(usable_servers_snapshot, snapshot_is_rebuilt_only_when_server_changes)
{
    backend_registry registry;
    registry.apply(makeReport(0, makeServer("s", 10, 1)), startTime);
    const backends_by_service_ptr snapshot = registry.usable();
    registry.apply(makeReport(1, makeServer("s", 10, 2)), startTime);
    cr_assert_eq(registry.usable(), snapshot);
    registry.apply({"s", 2, std::nullopt}, startTime);
    cr_assert_neq(registry.usable(), snapshot);
    cr_assert_eq(snapshot->size(), 1);
}

TestSuite(registry_after_member_restart);

Test(registry_after_member_restart, late_report_of_server_missing_from_listing_is_ignored)
{
    backend_registry registry;
    registry.replaceAll({makeReport(20, makeServer("t", 10, 9))}, 100, startTime);
    cr_assert_not(registry.apply(makeReport(85, makeServer("s", 10, 7)), startTime));
    cr_assert_eq(usableIn(registry).count("s"), 0);
    cr_assert(registry.apply(makeReport(100, makeServer("s", 30, 1)), startTime));
    cr_assert_eq(usableIn(registry).count("s"), 1);
}
