#include "fleetfixture.h"

#include "cardamomdeck/base/compression.h"

#include <nlohmann/json.hpp>

using namespace cardamomdeck;

namespace {

constexpr std::uint64_t era = 3;
constexpr std::uint64_t laterEra = 4;

backend_record makeRecordOf(std::uint64_t recordEra, const std::string &id, store_offset offset, std::uint64_t sequence)
{
    backend_record record = makeBackendRecord(id, offset);
    record.position.era = recordEra;
    record.server->sequence = sequence;
    return record;
}

/** A listing of both topics in the era @p readEra, with the servers @p backends. */
store_read_result makeListingOf(
    std::uint64_t readEra, time_point at, std::uint64_t version, std::vector<backend_record> backends, store_offset end)
{
    store_read_result listing = makeStoreRead(at, version, std::move(backends));
    listing.completeConfigListing = true;
    listing.completeListing = true;
    listing.configEnd = {readEra, end};
    listing.backendsEnd = {readEra, end};
    return listing;
}

std::size_t serversOf(const fleet_state &entry, time_point now)
{
    const auto backends = entry.view(now)->backends;
    return backends->contains("lots") ? backends->at("lots").size() : 0;
}

/** Two entries that know the version 7 and the servers s1 and s2 up to the offset 20. */
struct restored_store
{
    restored_store()
        : reader(makeMember("e1"))
        , peer(makeMember("e2"))
    {
        for (fleet_state *entry : {&reader, &peer}) {
            entry->recordMembershipKnown();
            entry->applyStoreRead(
                makeListingOf(era, startTime, 7, {makeRecordOf(era, "s1", 8, 3), makeRecordOf(era, "s2", 19, 1)}, 20),
                startTime);
        }
    }

    /** The reader lists the restored store, which has lost s2 and the version 7. */
    void readRestored()
    {
        now += milliseconds(500);
        reader.applyStoreRead(makeListingOf(laterEra, now, 5, {makeRecordOf(laterEra, "s1", 8, 3)}, 10), now);
    }

    time_point now = startTime;
    fleet_state reader;
    fleet_state peer;
};

}

TestSuite(restored_store);

// Guards against reads that go on from an offset of the time before, where other records stand now.
Test(restored_store, view_goes_on_from_the_lower_offset_and_keeps_its_version)
{
    restored_store store;
    store.readRestored();
    cr_assert(store.reader.position().configEnd == topic_position(laterEra, 10));
    cr_assert(store.reader.position().backendsEnd == topic_position(laterEra, 10));
    cr_assert_eq(store.reader.position().configVersion, 7);
}

// Guards against a view that counts as current because a later offset of the era before is known.
Test(restored_store, peer_is_current_only_with_the_complete_view_of_the_later_era)
{
    restored_store store;
    store.readRestored();
    const heartbeat_message heartbeat = store.reader.basicHeartbeat(store.now);
    cr_assert(store.peer.applyHeartbeat(heartbeat, store.now).shouldRequestView);
    cr_assert_eq(store.peer.freshAt(), startTime);
    const view_response response = store.reader.makeViewResponse(store.peer.makeViewRequest(), store.now);
    cr_assert(response.completeBackends);
    store.peer.applyViewResponse(response, std::nullopt, store.now, store.now);
    cr_assert(store.peer.position() == store.reader.position());
    cr_assert_eq(store.peer.freshAt(), store.now);
}

// Guards against servers that lose their requests because the store has forgotten them, and against dead ones for good.
Test(restored_store, lost_server_is_used_until_its_grace_period_ends)
{
    for (const bool registersAgain : {false, true}) {
        restored_store store;
        store.readRestored();
        exchangeHeartbeat(store.reader, store.peer, store.now);
        cr_assert_eq(serversOf(store.peer, store.now), 2);
        if (registersAgain) {
            store.now += milliseconds(700);
            // The same report as before.
            store_read_result read = makeStoreRead(store.now, 7, {makeRecordOf(laterEra, "s2", 10, 1)});
            read.configEnd = {laterEra, 10};
            store.reader.applyStoreRead(read, store.now);
            exchangeHeartbeat(store.reader, store.peer, store.now);
        }
        store.now += backend_registry::expiryGracePeriod;
        for (fleet_state *entry : {&store.reader, &store.peer}) {
            entry->expire(store.now);
            cr_assert_eq(serversOf(*entry, store.now), registersAgain ? 2 : 1);
        }
    }
}

// Guards against requests to a server that has left, when the store has lost the record of that.
Test(restored_store, removed_and_draining_servers_do_not_come_back_by_their_old_records)
{
    for (const bool drains : {false, true}) {
        restored_store store;
        store.now += milliseconds(500);
        backend_record last = makeRecordOf(era, "s1", 20, 4);
        last.server->draining = true;
        if (!drains) {
            last.server.reset();
        }
        store_read_result read = makeStoreRead(store.now, 7, {last});
        read.configEnd = {era, 20};
        store.reader.applyStoreRead(read, store.now);
        cr_assert_eq(serversOf(store.reader, store.now), 1);
        store.readRestored();
        store.now += backend_registry::expiryGracePeriod;
        store.reader.expire(store.now);
        cr_assert_eq(serversOf(store.reader, store.now), 0);
    }
}

// Guards against an entry that is cut off from the store, or reads it late, and takes others back to the era before.
Test(restored_store, news_of_the_era_before_changes_nothing)
{
    restored_store store;
    store.readRestored();
    const view_position position = store.reader.position();
    const time_point freshAt = store.reader.freshAt();
    store.now += milliseconds(300);
    store_read_result lateRead = makeStoreRead(store.now, 7, {makeRecordOf(era, "s3", 20, 1)});
    lateRead.configEnd = {era, 25};
    store.reader.applyStoreRead(lateRead, store.now);
    cr_assert(store.reader.position() == position);
    cr_assert_eq(store.reader.freshAt(), freshAt);
    store.peer.applyStoreRead(lateRead, store.now);
    heartbeat_message heartbeat = store.peer.basicHeartbeat(store.now);
    heartbeat.changes = {topic_position(era, 19), {makeRecordOf(era, "s3", 20, 1)}};
    const fleet_state::heartbeat_result result = store.reader.applyHeartbeat(heartbeat, store.now);
    cr_assert_not(result.viewChanged);
    cr_assert_not(result.announcedFreshAt);
    cr_assert(store.reader.position() == position);
    cr_assert_eq(store.reader.freshAt(), freshAt);
}

// Guards against eras that pass unseen: an entry was paused during two of them.
Test(restored_store, several_eras_at_once_count_as_one)
{
    restored_store store;
    store.now += seconds(5);
    store.reader.applyStoreRead(makeListingOf(laterEra + 5, store.now, 9, {}, 3), store.now);
    cr_assert(store.reader.position().configEnd == topic_position(laterEra + 5, 3));
    cr_assert_eq(store.reader.position().configVersion, 9);
    cr_assert_eq(serversOf(store.reader, store.now), 2);
}

// Guards against a fleet of hundreds of entries of which each asks the reader for the whole view.
Test(restored_store, large_fleet_gets_the_complete_view_by_relay)
{
    restored_store store;
    for (int member = 3; member < 40; ++member) {
        store.reader.applyHeartbeat(makeHeartbeat("e" + std::to_string(member)), store.now);
    }
    const view_position before = store.reader.position();
    store.readRestored();
    const auto announcement = store.reader.announceChanges(before, store.now);
    cr_assert(announcement && announcement->update && announcement->update->changes.completeBackends);
    store.peer.applyHeartbeat(announcement->heartbeat, store.now);
    const auto request = decodeRequest(encode(*announcement->update, store.now), store.now);
    store.peer.applyViewUpdate(std::get<view_update>(request.value()), std::nullopt, store.now);
    cr_assert(store.peer.position() == store.reader.position());
    cr_assert_eq(store.peer.freshAt(), store.now);
}

TestSuite(eras_in_messages);

Test(eras_in_messages, are_those_that_were_sent)
{
    restored_store store;
    store.readRestored();
    heartbeat_message heartbeat = store.reader.basicHeartbeat(store.now);
    const backend_record removed{"s1", {era, 8}, std::nullopt};
    heartbeat.changes = {topic_position(era, 4), {removed, {"s2", {laterEra, 1}, std::nullopt}}};
    cr_assert(decodeHeartbeat(encode(heartbeat, store.now), store.now).value() == heartbeat);
    view_response response = store.reader.makeViewResponse(store.peer.makeViewRequest(), store.now);
    response.backends = {removed, {"s2", {laterEra, 1}, std::nullopt}};
    response.disputedBackends = {"s1"};
    cr_assert(decodeViewResponse(encode(response, store.now), store.now).value() == response);
    const view_request request = store.reader.makeViewRequest();
    cr_assert(std::get<view_request>(decodeRequest(encode(request), store.now).value()) == request);
}

// Guards against damaged eras, after which no later record would count.
Test(eras_in_messages, that_are_malformed_are_rejected)
{
    using nlohmann::json;
    restored_store store;
    json fields = json::from_msgpack(encode(store.reader.basicHeartbeat(store.now), store.now));
    for (const json &invalid : {json(-1), json("4"), json(1.5), json(maxStoreEra + 1), json::array()}) {
        for (std::size_t index = 0; index < 4; ++index) {
            json damaged = fields;
            damaged[1][5][index] = invalid;
            const std::vector<std::uint8_t> bytes = json::to_msgpack(damaged);
            cr_assert_not(
                decodeHeartbeat({reinterpret_cast<const char *>(bytes.data()), bytes.size()}, store.now).has_value());
        }
    }
}

TestSuite(restored_store_with_entries_of_the_previous_version);

namespace {

/** The message as an entry of the previous version sends it: positions have five fields, records no eras. */
heartbeat_message withoutEras(heartbeat_message heartbeat)
{
    heartbeat.position.configEnd.era.reset();
    heartbeat.position.backendsEnd.era.reset();
    heartbeat.position.backendsListedUpTo = topic_position();
    if (heartbeat.position.lastBackendChange) {
        heartbeat.position.lastBackendChange->era.reset();
    }
    return heartbeat;
}

}

// Guards against a rolling upgrade in which upgraded entries count as current by what the others have read.
Test(restored_store_with_entries_of_the_previous_version, their_positions_confirm_nothing)
{
    restored_store store;
    store.now += milliseconds(600);
    heartbeat_message heartbeat = withoutEras(store.peer.basicHeartbeat(store.now));
    heartbeat.viewAge = milliseconds(1);
    heartbeat.position.backendsEnd.offset = 90;
    cr_assert_not(store.reader.applyHeartbeat(heartbeat, store.now).announcedFreshAt);
    cr_assert_eq(store.reader.freshAt(), startTime);
    cr_assert_eq(store.reader.position().backendsEnd.offset, 20);
}

// Guards against an upgraded entry without a configuration that only the others have.
Test(restored_store_with_entries_of_the_previous_version, their_configuration_and_members_are_asked_for)
{
    restored_store store;
    heartbeat_message heartbeat = withoutEras(store.peer.basicHeartbeat(store.now));
    cr_assert_not(store.reader.applyHeartbeat(heartbeat, store.now).shouldRequestView);
    heartbeat.position.configVersion = 8;
    cr_assert(store.reader.applyHeartbeat(heartbeat, store.now).shouldRequestView);
}

// Guards against requests of theirs that are answered with nothing, or with all servers each time.
Test(restored_store_with_entries_of_the_previous_version, they_get_the_changes_that_they_ask_for)
{
    restored_store store;
    view_request request;
    request.acceptsListing = false;
    cr_assert_eq(store.reader.makeViewResponse(request, store.now).backends.size(), 2);
    request.position.lastBackendChange = topic_position(15);
    request.position.backendsEnd = 16;
    const view_response response = store.reader.makeViewResponse(request, store.now);
    cr_assert_not(response.completeBackends);
    cr_assert_eq(response.backends.size(), 1);
    cr_assert_eq(response.backends.front().id, "s2");
}

TestSuite(restored_store_evacuations);

namespace {

/** Two entries that know an evacuation of zone-a, and a reader that lists a store without it. */
struct lost_evacuation : restored_store
{
    lost_evacuation()
    {
        for (fleet_state *entry : {&reader, &peer}) {
            now = startTime + milliseconds(400);
            store_read_result read = makeStoreRead(now, 7, {});
            read.configEnd = {era, 21};
            read.backendsEnd = {era, 20};
            read.evacuations = {{"zone-a", {era, 20}, true}};
            entry->applyStoreRead(read, now);
        }
        readRestored();
        exchangeHeartbeat(reader, peer, now);
    }

    /** Time passes in which the reader reads, and the peer hears of it. */
    void pass(milliseconds duration, const std::vector<evacuation_record> &evacuations = {})
    {
        now += duration;
        store_read_result read = makeStoreRead(now, 7, {});
        read.configEnd = {laterEra, 10 + evacuations.size()};
        read.backendsEnd = {laterEra, 10};
        read.evacuations = evacuations;
        reader.applyStoreRead(read, now);
        exchangeHeartbeat(reader, peer, now);
        reader.expire(now);
        peer.expire(now);
    }

    bool isEvacuated() const
    {
        const bool byReader = reader.evacuations().evacuatedZones()->contains("zone-a");
        cr_assert_eq(peer.evacuations().evacuatedZones()->contains("zone-a"), byReader);
        return byReader;
    }
};

constexpr milliseconds gracePeriod = evacuation_table::lostRecordGracePeriod;

}

// Guards against requests in a zone whose evacuation the store has lost, before the operator has written it again.
Test(restored_store_evacuations, lost_one_holds_for_its_grace_period)
{
    lost_evacuation store;
    cr_assert(store.isEvacuated());
    store.pass(gracePeriod - milliseconds(1));
    cr_assert(store.isEvacuated());
    store.pass(milliseconds(1));
    cr_assert_not(store.isEvacuated());
}

Test(restored_store_evacuations, one_that_is_written_again_goes_on)
{
    lost_evacuation store;
    store.pass(milliseconds(700), {{"zone-a", {laterEra, 10}, true}});
    store.pass(2 * gracePeriod);
    cr_assert(store.isEvacuated());
}

// Guards against a zone that stays unused although the operator has taken its evacuation back after the return.
Test(restored_store_evacuations, one_that_is_taken_back_ends_at_the_reader_at_once)
{
    lost_evacuation store;
    store.now += milliseconds(700);
    store_read_result read = makeStoreRead(store.now, 7, {});
    read.configEnd = {laterEra, 11};
    read.backendsEnd = {laterEra, 10};
    read.evacuations = {{"zone-a", {laterEra, 10}, false}};
    store.reader.applyStoreRead(read, store.now);
    cr_assert(store.reader.evacuations().evacuatedZones()->empty());
}

// Guards against an entry that ends an evacuation by itself while it hears nothing of the store.
Test(restored_store_evacuations, lost_one_holds_while_the_view_is_not_current)
{
    lost_evacuation store;
    store.now += 2 * gracePeriod;
    store.reader.expire(store.now);
    cr_assert(store.reader.evacuations().evacuatedZones()->contains("zone-a"));
}

TestSuite(views_of_started_entries);

// Guards against a fleet of which each entry asks a starting one for the whole view, because that was made a moment
// later.
Test(views_of_started_entries, are_not_asked_for)
{
    restored_store store;
    store.now += milliseconds(500);
    store_read_result read
        = makeStoreRead(store.now, 7, {makeRecordOf(era, "s1", 20, 4), makeRecordOf(era, "s2", 29, 2)});
    read.configEnd = {era, 20};
    store.reader.applyStoreRead(read, store.now);
    fleet_state starting(makeMember("e3"));
    exchangeHeartbeat(store.reader, starting, store.now);
    cr_assert_eq(serversOf(starting, store.now), 2);
    cr_assert(starting.position().lastBackendChange == store.reader.position().lastBackendChange);
    store.peer.applyHeartbeat(starting.basicHeartbeat(store.now), store.now);
    const fleet_state::heartbeat_result result
        = store.peer.applyHeartbeat(starting.basicHeartbeat(store.now), store.now);
    cr_assert_not(result.shouldRequestView);
    cr_assert_eq(store.peer.freshAt(), startTime);
}

// Guards against a series of reads without a pause, when a peer was ahead of the store.
Test(views_of_started_entries, contradiction_is_read_once_in_a_while)
{
    restored_store store;
    heartbeat_message ahead = store.peer.basicHeartbeat(store.now);
    ahead.position.configEnd = {era, 1000};
    store_read_result read = makeStoreRead(store.now, 7, {});
    read.configEnd = {era, 21};
    read.backendsEnd = {era, 20};
    read.evacuations = {{"zone-a", {era, 20}, true}};
    store.reader.applyStoreRead(read, store.now);
    store.reader.applyHeartbeat(ahead, store.now);
    cr_assert(store.reader.evacuations().isContradicted());
    cr_assert_leq(store.reader.nextRead(store.now), store.now + read_schedule::minReadAge);
    read.completeConfigListing = true;
    store.reader.applyStoreRead(read, store.now);
    cr_assert(store.reader.evacuations().isContradicted());
    cr_assert_eq(store.reader.nextRead(store.now), store.now + read_schedule::minReadAge);
}
