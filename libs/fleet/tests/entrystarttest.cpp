#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(entries_that_start_have_listed_the_back_ends);

namespace {

/** A first reading at @p at that lists @p count servers, whose last reports begin at offset @p from. */
store_reading listing(time_point at, store_offset from, store_offset count)
{
    std::vector<backend_record> records;
    for (store_offset i = 0; i < count; ++i) {
        records.push_back(backend("s" + std::to_string(i), from + i));
    }
    store_reading value = reading(at, 3, records);
    value.completeListing = true;
    return value;
}

}

Test(entries_that_start_have_listed_the_back_ends, a_later_listing_is_no_reason_to_ask_for_all_servers)
{
    fleet_state early(member("e1"));
    early.noteIntroduced();
    fleet_state late(member("e2"));
    early.applyReading(listing(start, 100, 50), start);
    late.applyReading(listing(start + milliseconds(300), 700, 50), start + milliseconds(300));
    const time_point now = start + milliseconds(310);
    cr_assert_not(early.hear(late.notice(now), now).ask);
    cr_assert_eq(early.freshAt(), start);
}

Test(entries_that_start_have_listed_the_back_ends, its_sender_is_believed_once_the_entry_has_read_as_far)
{
    fleet_state early(member("e1"));
    early.noteIntroduced();
    fleet_state late(member("e2"));
    early.applyReading(listing(start, 100, 50), start);
    late.applyReading(listing(start + milliseconds(300), 700, 50), start + milliseconds(300));
    store_reading nothingNew = reading(start + milliseconds(900), 3, {});
    nothingNew.config.reset();
    nothingNew.backendsEnd = 900;
    early.applyReading(nothingNew, start + milliseconds(900));
    late.applyReading(nothingNew, start + milliseconds(950));
    const time_point now = start + milliseconds(1000);
    cr_assert_not(early.hear(late.notice(now), now).ask);
    cr_assert_geq(early.freshAt(), start + milliseconds(890));
}

Test(entries_that_start_have_listed_the_back_ends, a_change_after_the_listing_is_asked_for)
{
    fleet_state early(member("e1"));
    early.noteIntroduced();
    fleet_state late(member("e2"));
    early.applyReading(listing(start, 100, 50), start);
    late.applyReading(listing(start + milliseconds(300), 700, 50), start + milliseconds(300));
    store_reading change = reading(start + milliseconds(900), 3, {{"s1", 800, std::nullopt}});
    late.applyReading(change, start + milliseconds(900));
    const time_point now = start + milliseconds(910);
    cr_assert(early.hear(late.notice(now), now).ask);
}

Test(entries_that_start_have_listed_the_back_ends, an_entry_without_a_view_asks_them)
{
    fleet_state listed(member("e1"));
    fleet_state starting(member("e2"));
    listed.applyReading(listing(start, 100, 50), start);
    cr_assert(starting.hear(listed.notice(start), start).ask);
}

TestSuite(an_entry_knows_rules_but_no_servers);

Test(an_entry_knows_rules_but_no_servers, callers_are_sent_to_it_when_the_servers_are_known_too)
{
    fleet_state entry(member("e1"));
    store_reading onlyRules = reading(start, 3, {});
    onlyRules.backendsRead = false;
    onlyRules.completeListing = true;
    entry.applyReading(onlyRules, start);
    cr_assert_not(entry.view(start)->ready);
    cr_assert(entry.view(start)->readyMembers.empty());
    store_reading onlyServers = reading(start, 3, {backend("s", 0)});
    onlyServers.configRead = false;
    onlyServers.config.reset();
    entry.applyReading(onlyServers, start);
    cr_assert(entry.view(start)->ready);
    cr_assert_eq(entry.view(start)->readyMembers.size(), 1);
}

TestSuite(an_entry_has_restarted_beside_a_peer_that_was_cut_off);

Test(an_entry_has_restarted_beside_a_peer_that_was_cut_off, the_peers_old_view_is_not_taken_while_the_store_answers)
{
    fleet_state cutOff(member("e1"));
    cutOff.applyReading(reading(start, 3, {backend("left", 0)}), start);
    fleet_state restarted(member("e2"));
    const time_point now = start + seconds(30);
    cr_assert_not(restarted.hear(cutOff.notice(now), now).ask);
    restarted.applyReading(reading(now, 7, {}), now);
    cr_assert_eq(restarted.view(now)->config->version, 7);
    cr_assert(restarted.view(now)->backends->empty());
}

Test(an_entry_has_restarted_beside_a_peer_that_was_cut_off, the_peers_old_view_serves_when_nobody_reaches_the_store)
{
    fleet_state cutOff(member("e1"));
    cutOff.applyReading(reading(start, 3, {backend("s", 0)}), start);
    fleet_state restarted(member("e2"));
    const time_point now = start + seconds(30);
    restarted.applyReading(failedReading(now), now);
    cr_assert(restarted.hear(cutOff.notice(now), now).ask);
}
