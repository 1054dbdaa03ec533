#include "cardamomdeck/fleet/viewresponsecache.h"

#include "fleetfixture.h"

using namespace cardamomdeck;

// Requests must not reach an evacuated zone whichever messages are lost, late or doubled, and must return to it after
// the evacuation. The offsets below are those of the topic with the configuration.

namespace {

const evacuation_record zoneAEvacuated{"zone-a", 7, true};
const evacuation_record zoneAReturned{"zone-a", 9, false};

/** A read of a topic with version 3 of the configuration, up to @p end. */
store_read_result makeRead(time_point at, store_offset end, std::vector<evacuation_record> evacuations = {})
{
    store_read_result read = makeStoreRead(at, 3, {});
    read.configEnd = end;
    read.evacuations = std::move(evacuations);
    return read;
}

store_read_result makeListing(time_point at, store_offset end, std::vector<evacuation_record> evacuations = {})
{
    store_read_result read = makeRead(at, end, std::move(evacuations));
    read.completeConfigListing = true;
    return read;
}

/** State of an entry that has listed the topic when it ended at @p end. */
fleet_state makeEntry(const std::string &name, store_offset end = 7)
{
    fleet_state entry(makeMember(name));
    entry.recordMembershipKnown();
    entry.applyStoreRead(makeListing(startTime, end), startTime);
    return entry;
}

fleet_state makeEntryOfLargeFleet(const std::string &name)
{
    fleet_state entry = makeEntry(name);
    for (int i = 0; i < 30; ++i) {
        entry.applyHeartbeat(makeHeartbeat("m" + std::to_string(i)), startTime);
    }
    return entry;
}

bool isEvacuated(const fleet_state &entry)
{
    return entry.view(startTime)->evacuatedZones->contains("zone-a");
}

/** What an entry of the previous version sends: it has read the same topic, and sends no evacuations. */
heartbeat_message withoutEvacuations(heartbeat_message heartbeat)
{
    heartbeat.evacuations.clear();
    return heartbeat;
}

const time_point readAt = startTime + milliseconds(700);

}

TestSuite(evacuation_in_a_fleet);

Test(evacuation_in_a_fleet, view_without_evacuations_has_an_empty_set)
{
    cr_assert(fleet_view().evacuatedZones->empty());
    cr_assert(makeEntry("e1").view(startTime)->evacuatedZones->empty());
}

Test(evacuation_in_a_fleet, read_of_an_evacuation_changes_the_view)
{
    fleet_state reader = makeEntry("e1");
    const fleet_view_ptr before = reader.view(readAt);
    cr_assert(reader.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt));
    cr_assert(isEvacuated(reader));
    cr_assert_not(*reader.view(readAt) == *before, "a view that compares equal is not published");
    cr_assert_not(reader.applyStoreRead(makeRead(readAt, 8), readAt));
    cr_assert(reader.applyStoreRead(makeRead(readAt, 10, {zoneAReturned}), readAt));
    cr_assert_not(isEvacuated(reader));
}

Test(evacuation_in_a_fleet, announcement_reaches_the_peers)
{
    fleet_state reader = makeEntry("e1");
    fleet_state peer = makeEntry("e2");
    const view_position before = reader.position();
    reader.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    const auto announcement = reader.announceChanges(before, readAt);
    cr_assert(announcement.has_value());
    const auto result = peer.applyHeartbeat(announcement->heartbeat, readAt);
    cr_assert(result.evacuationsChanged);
    cr_assert_not(result.shouldRequestView);
    cr_assert(isEvacuated(peer));
    cr_assert(peer.position() == reader.position());
    cr_assert_not(peer.applyHeartbeat(announcement->heartbeat, readAt).evacuationsChanged, "a doubled message");
}

// Guards against a view that counts as fresh, and is not read again, without the evacuation of a lost announcement.
Test(evacuation_in_a_fleet, each_heartbeat_makes_up_for_a_lost_announcement)
{
    fleet_state reader = makeEntryOfLargeFleet("e1");
    reader.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    for (const heartbeat_message &heartbeat :
         {reader.basicHeartbeat(readAt), reader.heartbeat(readAt), reader.crossZoneHeartbeat(readAt)}) {
        fleet_state peer = makeEntry("e2");
        peer.applyHeartbeat(heartbeat, readAt);
        cr_assert_geq(peer.freshAt(), readAt - milliseconds(1));
        cr_assert(isEvacuated(peer));
    }
}

Test(evacuation_in_a_fleet, late_messages_revert_nothing)
{
    fleet_state reader = makeEntry("e1");
    fleet_state peer = makeEntry("e2");
    reader.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    const heartbeat_message first = reader.basicHeartbeat(readAt);
    const view_response firstResponse = reader.makeViewResponse({}, readAt);
    reader.applyStoreRead(makeRead(readAt, 10, {zoneAReturned}), readAt);
    peer.applyHeartbeat(reader.basicHeartbeat(readAt), readAt);
    peer.applyHeartbeat(first, readAt);
    peer.applyViewResponse(firstResponse, std::nullopt, readAt, readAt);
    cr_assert_not(isEvacuated(peer));
    const heartbeat_message ended = peer.basicHeartbeat(readAt);
    peer.applyStoreRead(makeRead(readAt, 12, {{"zone-a", 11, true}}), readAt);
    peer.applyHeartbeat(ended, readAt);
    peer.applyHeartbeat(first, readAt);
    cr_assert(isEvacuated(peer));
}

// An entry that has not heard of the removal must not start the evacuation again at the others.
Test(evacuation_in_a_fleet, ended_evacuations_are_passed_on)
{
    fleet_state reader = makeEntry("e1");
    fleet_state peer = makeEntry("e2");
    peer.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    reader.applyStoreRead(makeRead(readAt, 10, {zoneAEvacuated, zoneAReturned}), readAt);
    cr_assert_not(reader.applyHeartbeat(peer.basicHeartbeat(readAt), readAt).evacuationsChanged);
    cr_assert(peer.applyHeartbeat(reader.basicHeartbeat(readAt), readAt).evacuationsChanged);
    cr_assert_not(isEvacuated(reader));
    cr_assert_not(isEvacuated(peer));
}

Test(evacuation_in_a_fleet, relayed_update_carries_the_table)
{
    fleet_state reader = makeEntryOfLargeFleet("e1");
    fleet_state peer = makeEntry("e2");
    const view_position before = reader.position();
    store_read_result read = makeRead(readAt, 8, {zoneAEvacuated});
    read.config = makeConfig(4);
    reader.applyStoreRead(read, readAt);
    const auto update = reader.makeViewUpdate(before, readAt);
    cr_assert(update.has_value());
    cr_assert(peer.applyViewUpdate(*update, std::nullopt, readAt));
    cr_assert(isEvacuated(peer));
}

// Guards against an evacuation that waits for the end of another entry's relay, up to 0.6 s and longer in a series.
Test(evacuation_in_a_fleet, announcement_does_not_wait_for_the_relay_of_another_entry)
{
    fleet_state reader = makeEntryOfLargeFleet("e1");
    fleet_state other = makeEntryOfLargeFleet("e2");
    fleet_state peer = makeEntry("e3");
    heartbeat_message relayed = other.basicHeartbeat(startTime);
    relayed.relayed = true;
    reader.applyHeartbeat(relayed, readAt);
    const view_position before = reader.position();
    std::vector<backend_record> servers;
    for (store_offset offset = 0; offset < 20; ++offset) {
        servers.push_back(makeBackendRecord("s" + std::to_string(offset), offset));
    }
    store_read_result read = makeStoreRead(readAt, 3, servers);
    read.configEnd = 7;
    reader.applyStoreRead(read, readAt);
    cr_assert_not(reader.announceChanges(before, readAt).has_value(), "the servers wait");
    const view_position second = reader.position();
    reader.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    const auto announcement = reader.announceChanges(second, readAt);
    cr_assert(announcement.has_value());
    cr_assert_not(announcement->update.has_value());
    const auto result = peer.applyHeartbeat(announcement->heartbeat, readAt);
    cr_assert(result.evacuationsChanged);
    cr_assert_not(result.shouldRequestView, "the servers still wait");
    cr_assert_leq(peer.freshAt(), startTime, "the peer lacks the servers");
    cr_assert_not(reader.announceChanges(second, readAt).has_value(), "it is announced once");
    const time_point relayEnd = readAt + fleet_state::relayTime;
    const auto later = reader.announceChanges(second, relayEnd);
    cr_assert(later.has_value() && later->update.has_value());
    cr_assert_eq(later->update->changes.backends.size(), 20);
}

TestSuite(evacuation_at_a_start);

Test(evacuation_at_a_start, first_view_has_the_table)
{
    fleet_state peer = makeEntry("e1");
    peer.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    fleet_state starting(makeMember("e2"));
    view_response response = peer.makeViewResponse(starting.makeViewRequest(), readAt);
    starting.applyViewResponse(response, makeConfig(3), readAt, readAt);
    cr_assert(starting.isComplete());
    cr_assert(isEvacuated(starting));
}

Test(evacuation_at_a_start, cached_response_has_the_table)
{
    fleet_state peer = makeEntry("e1");
    view_response_cache cache;
    static_cast<void>(cache.encodedResponse(peer, {}, readAt));
    heartbeat_message heartbeat = makeHeartbeat("e3");
    heartbeat.evacuations = {zoneAEvacuated};
    peer.applyHeartbeat(heartbeat, readAt);
    const auto response = decodeViewResponse(*cache.encodedResponse(peer, {}, readAt), readAt);
    cr_assert((response->evacuations == std::vector<evacuation_record>{zoneAEvacuated}));
}

Test(evacuation_at_a_start, listing_of_the_topic_has_it)
{
    fleet_state starting(makeMember("e1"));
    starting.applyStoreRead(makeListing(startTime, 8, {zoneAEvacuated}), startTime);
    cr_assert(isEvacuated(starting));
}

// The peer was cut off and knows an evacuation that has ended; the entry that starts reads the topic without it.
Test(evacuation_at_a_start, listing_ends_what_a_peer_with_an_old_view_believes)
{
    fleet_state peer = makeEntry("e1");
    peer.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    fleet_state starting(makeMember("e2"));
    const time_point now = readAt + seconds(30);
    cr_assert(starting.applyHeartbeat(peer.basicHeartbeat(now), now).evacuationsChanged);
    starting.applyStoreRead(makeListing(now, 10), now);
    cr_assert_not(isEvacuated(starting));
    cr_assert(peer.applyHeartbeat(starting.basicHeartbeat(now), now).evacuationsChanged);
    cr_assert_not(isEvacuated(peer));
}

TestSuite(evacuation_at_an_entry_that_was_cut_off);

Test(evacuation_at_an_entry_that_was_cut_off, it_keeps_what_it_knows_and_learns_the_rest_from_the_first_heartbeat)
{
    fleet_state reader = makeEntry("e1");
    fleet_state cutOff = makeEntry("e2");
    cutOff.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    const time_point later = readAt + seconds(20);
    cr_assert(isEvacuated(cutOff));
    reader.applyStoreRead(makeRead(later, 11, {zoneAEvacuated, zoneAReturned, {"zone-b", 10, true}}), later);
    cutOff.applyHeartbeat(reader.basicHeartbeat(later), later);
    cr_assert((*cutOff.view(later)->evacuatedZones == zone_set{"zone-b"}));
}

// All others have started after the evacuation ended, so none of them knows that it has, and their position is past the
// removal: without a listing, the zone would stay evacuated at the entry that was cut off, and at all others through
// it.
Test(evacuation_at_an_entry_that_was_cut_off, evacuation_that_the_others_never_knew_ends_with_the_next_read)
{
    for (const bool readerIsCutOff : {true, false}) {
        fleet_state cutOff = makeEntry("e1");
        cutOff.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
        fleet_state restarted = makeEntry("e2", 10);
        const time_point later = startTime + seconds(20);
        restarted.applyStoreRead(makeRead(later, 10), later);
        cutOff.applyHeartbeat(restarted.basicHeartbeat(later), later);
        restarted.applyHeartbeat(cutOff.basicHeartbeat(later), later);
        cr_assert(cutOff.evacuations().needsListing());
        cr_assert(restarted.evacuations().needsListing());
        fleet_state &reader = readerIsCutOff ? cutOff : restarted;
        fleet_state &peer = readerIsCutOff ? restarted : cutOff;
        const view_position before = reader.position();
        const time_point next = later + milliseconds(700);
        cr_assert(reader.applyStoreRead(makeListing(next, 10), next));
        peer.applyHeartbeat(reader.announceChanges(before, next)->heartbeat, next);
        cr_assert_not(isEvacuated(reader));
        cr_assert_not(isEvacuated(peer));
        cr_assert_not(reader.evacuations().needsListing());
    }
}

TestSuite(evacuation_and_the_store);

Test(evacuation_and_the_store, table_is_kept_while_the_store_is_away)
{
    fleet_state entry = makeEntry("e1");
    entry.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    for (milliseconds since{0}; since < seconds(60); since += seconds(2)) {
        entry.applyStoreRead(makeFailedStoreRead(readAt + since), readAt + since);
    }
    cr_assert(isEvacuated(entry));
    const time_point back = readAt + seconds(61);
    entry.applyStoreRead(makeRead(back, 8), back);
    cr_assert(isEvacuated(entry));
}

Test(evacuation_and_the_store, it_is_obeyed_while_the_part_with_the_servers_is_away)
{
    fleet_state entry = makeEntry("e1");
    store_read_result read = makeRead(readAt, 8, {zoneAEvacuated});
    read.backendsRead = false;
    cr_assert(entry.applyStoreRead(read, readAt));
    cr_assert(isEvacuated(entry));
}

// The history has been deleted, and the removal with it.
Test(evacuation_and_the_store, listing_after_a_deleted_history_ends_it)
{
    fleet_state entry = makeEntry("e1");
    entry.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    cr_assert(entry.applyStoreRead(makeListing(readAt, 20), readAt));
    cr_assert_not(isEvacuated(entry));
}

Test(evacuation_and_the_store, missing_topic_ends_nothing)
{
    fleet_state entry = makeEntry("e1");
    entry.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    store_read_result read = makeListing(readAt, 0);
    read.config.reset();
    cr_assert_not(entry.applyStoreRead(read, readAt));
    cr_assert(isEvacuated(entry));
}

TestSuite(evacuation_with_entries_of_the_previous_version);

Test(evacuation_with_entries_of_the_previous_version, their_heartbeats_end_nothing)
{
    fleet_state entry = makeEntry("e1");
    fleet_state previous = makeEntry("e2");
    entry.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    previous.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    entry.applyHeartbeat(withoutEvacuations(previous.basicHeartbeat(readAt)), readAt);
    cr_assert(isEvacuated(entry));
    cr_assert_not(entry.evacuations().needsListing());
}

// Guards against an evacuation from before an upgrade that no entry of the new version ever reads, because the first
// view of each came from an entry of the previous version, with a position after the record.
Test(evacuation_with_entries_of_the_previous_version, first_read_after_a_view_of_theirs_is_a_listing)
{
    fleet_state previous = makeEntry("e1");
    previous.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    fleet_state upgraded(makeMember("e2"));
    view_response response = previous.makeViewResponse({}, readAt);
    response.evacuations.clear();
    upgraded.applyViewResponse(response, makeConfig(3), readAt, readAt);
    cr_assert_eq(upgraded.position().configEnd, 8);
    cr_assert(upgraded.evacuations().needsListing());
    upgraded.applyStoreRead(makeListing(readAt, 8, {zoneAEvacuated}), readAt);
    cr_assert(isEvacuated(upgraded));
    cr_assert_not(upgraded.evacuations().needsListing());
}

Test(evacuation_with_entries_of_the_previous_version, removal_that_they_have_read_past_is_found)
{
    fleet_state entry = makeEntry("e1");
    fleet_state previous = makeEntry("e2");
    entry.applyStoreRead(makeRead(readAt, 8, {zoneAEvacuated}), readAt);
    previous.applyStoreRead(makeRead(readAt, 10, {zoneAEvacuated, zoneAReturned}), readAt);
    entry.applyHeartbeat(withoutEvacuations(previous.basicHeartbeat(readAt)), readAt);
    cr_assert_eq(entry.position().configEnd, 10);
    cr_assert(entry.evacuations().needsListing());
    cr_assert(entry.applyStoreRead(makeListing(readAt, 10), readAt));
    cr_assert_not(isEvacuated(entry));
}
