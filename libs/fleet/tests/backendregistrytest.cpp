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

const time_point start{seconds(1000)};

backend_server makeServer(const std::string &id, std::int64_t bornMs, std::uint64_t sequence)
{
    backend_server server;
    server.id = id;
    server.service = "lots";
    server.zone = "a";
    server.address = {"10.0.0.1", 80};
    server.slots = 2;
    server.bornMs = bornMs;
    server.sequence = sequence;
    return server;
}

backend_record report(store_offset offset, backend_server server)
{
    return {server.id, offset, server};
}

backend_server draining(backend_server server)
{
    server.draining = true;
    return server;
}

}

TestSuite(a_backend_server_reports);

Test(a_backend_server_reports, its_first_report_brings_it_into_use)
{
    backend_registry registry;
    cr_assert(registry.apply(report(0, makeServer("s", 10, 1)), start));
    cr_assert_eq(usableIn(registry).count("s"), 1);
}

Test(a_backend_server_reports, a_report_that_only_counts_on_is_no_change)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    cr_assert_not(registry.apply(report(1, makeServer("s", 10, 2)), start));
    cr_assert_eq(registry.changedAt(), 0);
}

Test(a_backend_server_reports, draining_takes_it_out_and_a_late_report_does_not_bring_it_back)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    cr_assert(registry.apply(report(1, draining(makeServer("s", 10, 5))), start));
    cr_assert(usableIn(registry).empty());
    cr_assert_not(registry.apply(report(2, makeServer("s", 10, 4)), start));
    cr_assert(usableIn(registry).empty());
}

Test(a_backend_server_reports, a_late_report_of_an_earlier_incarnation_is_ignored)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 20, 1)), start);
    cr_assert_not(registry.apply(report(1, draining(makeServer("s", 10, 99))), start));
    cr_assert_eq(usableIn(registry).at("s").bornMs, 20);
}

Test(a_backend_server_reports, a_restart_under_the_same_id_counts_anew)
{
    backend_registry registry;
    registry.apply(report(0, draining(makeServer("s", 10, 50))), start);
    cr_assert(registry.apply(report(1, makeServer("s", 20, 1)), start));
    cr_assert_eq(usableIn(registry).count("s"), 1);
}

Test(a_backend_server_reports, records_may_come_twice_and_out_of_order)
{
    backend_registry registry;
    registry.apply(report(7, draining(makeServer("s", 10, 3))), start);
    cr_assert_not(registry.apply(report(5, makeServer("s", 10, 4)), start));
    cr_assert_not(registry.apply(report(7, draining(makeServer("s", 10, 3))), start));
    cr_assert(usableIn(registry).empty());
}

TestSuite(a_backend_server_leaves);

Test(a_backend_server_leaves, its_removal_takes_it_out_at_once)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    cr_assert(registry.apply({"s", 1, std::nullopt}, start));
    cr_assert(usableIn(registry).empty());
}

Test(a_backend_server_leaves, a_late_report_from_before_its_removal_does_not_bring_it_back)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 5)), start);
    registry.apply({"s", 1, std::nullopt}, start);
    cr_assert_not(registry.apply(report(2, makeServer("s", 10, 4)), start));
    cr_assert(usableIn(registry).empty());
}

Test(a_backend_server_leaves, a_listing_without_it_takes_it_out)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    registry.apply(report(1, makeServer("t", 10, 1)), start);
    cr_assert(registry.replaceAll({report(3, makeServer("t", 10, 2))}, 4, start));
    cr_assert_eq(usableIn(registry).size(), 1);
    cr_assert_eq(registry.end(), 4);
}

TestSuite(registrations_lapse_while_the_store_is_away);

Test(registrations_lapse_while_the_store_is_away, a_lapsed_server_stays_in_use_until_it_can_have_registered_again)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    registry.noteStoreReturned(start);
    cr_assert_not(registry.apply({"s", 1, std::nullopt}, start));
    cr_assert_eq(usableIn(registry).count("s"), 1);
    cr_assert_not(registry.expireLapsed(start + backend_registry::lapseHold - milliseconds(1)));
    cr_assert(registry.expireLapsed(start + backend_registry::lapseHold));
    cr_assert(usableIn(registry).empty());
}

Test(registrations_lapse_while_the_store_is_away, a_server_that_registers_again_stays)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    registry.noteStoreReturned(start);
    registry.apply({"s", 1, std::nullopt}, start);
    registry.apply(report(2, makeServer("s", 10, 2)), start);
    registry.expireLapsed(start + backend_registry::lapseHold);
    cr_assert_eq(usableIn(registry).count("s"), 1);
}

Test(registrations_lapse_while_the_store_is_away, a_draining_server_is_not_held)
{
    backend_registry registry;
    registry.apply(report(0, draining(makeServer("s", 10, 1))), start);
    registry.noteStoreReturned(start);
    registry.apply({"s", 1, std::nullopt}, start);
    cr_assert(usableIn(registry).empty());
}

TestSuite(peers_hear_of_changes);

Test(peers_hear_of_changes, only_records_that_changed_something_are_passed_on)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    registry.apply(report(1, makeServer("t", 10, 1)), start);
    registry.apply(report(2, makeServer("s", 10, 2)), start);
    const auto records = registry.since(1);
    cr_assert_eq(records.size(), 1);
    cr_assert_eq(records.front().id, "t");
}

Test(peers_hear_of_changes, a_peer_that_applies_them_reaches_the_same_set)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    registry.apply(report(1, makeServer("t", 10, 1)), start);
    registry.apply({"s", 2, std::nullopt}, start);
    backend_registry peer;
    for (const backend_record &record : registry.since(0)) {
        peer.apply(record, start);
    }
    cr_assert(usableIn(peer) == usableIn(registry));
}

TestSuite(fleets_have_thousands_of_servers);

Test(fleets_have_thousands_of_servers, what_is_known_is_built_anew_only_when_a_server_changes)
{
    backend_registry registry;
    registry.apply(report(0, makeServer("s", 10, 1)), start);
    const backends_by_service_ptr known = registry.usable();
    registry.apply(report(1, makeServer("s", 10, 2)), start);
    cr_assert_eq(registry.usable(), known);
    registry.apply({"s", 2, std::nullopt}, start);
    cr_assert_neq(registry.usable(), known);
    cr_assert_eq(known->size(), 1);
}

TestSuite(an_entry_has_restarted);

Test(an_entry_has_restarted, a_late_report_of_a_server_that_left_before_does_not_bring_it_back)
{
    backend_registry registry;
    registry.replaceAll({report(20, makeServer("t", 10, 9))}, 100, start);
    cr_assert_not(registry.apply(report(85, makeServer("s", 10, 7)), start));
    cr_assert_eq(usableIn(registry).count("s"), 0);
    cr_assert(registry.apply(report(100, makeServer("s", 30, 1)), start));
    cr_assert_eq(usableIn(registry).count("s"), 1);
}
