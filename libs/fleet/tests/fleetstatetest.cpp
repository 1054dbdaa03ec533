#include "fleetfixture.h"

#include "cardamomdeck/base/compression.h"

using namespace cardamomdeck;

TestSuite(view_propagation);

Test(view_propagation, peer_applies_missing_changes)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    cr_assert_eq(peer.view(startTime)->config->version, 3);
    cr_assert_eq(peer.view(startTime)->backends->at("lots").size(), 1);
    cr_assert(peer.position() == reader.position());
}

Test(view_propagation, up_to_date_peer_applies_only_view_age)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    const time_point later = startTime + milliseconds(500);
    reader.applyStoreRead(makeStoreRead(later, 3, {}), later);
    cr_assert_not(peer.applyHeartbeat(reader.basicHeartbeat(later), later).shouldRequestView);
    cr_assert_geq(peer.nextRead(later), later + read_schedule::minReadAge);
}

Test(view_propagation, the_view_age_is_not_applied_before_its_changes)
{
    fleet_state reader(makeMember("e2"));
    fleet_state peer(makeMember("e1"));
    peer.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point later = startTime + milliseconds(900);
    reader.applyStoreRead(makeStoreRead(later, 4, {}), later);
    const time_point before = peer.nextRead(later);
    cr_assert(peer.applyHeartbeat(reader.basicHeartbeat(later), later).shouldRequestView);
    cr_assert_eq(peer.nextRead(later), before);
}

Test(view_propagation, heartbeat_carries_few_changes)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    const view_position before = reader.position();
    const time_point later = startTime + milliseconds(500);
    reader.applyStoreRead(makeStoreRead(later, 3, {makeBackendRecord("t", 5)}), later);
    const fleet_state::heartbeat_result result = peer.applyHeartbeat(reader.heartbeatWithChanges(before, later), later);
    cr_assert(result.viewChanged);
    cr_assert_not(result.shouldRequestView);
    cr_assert_eq(peer.view(later)->backends->at("lots").size(), 2);
}

Test(view_propagation, changes_after_gap_cause_view_request)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("t", 5)}), startTime);
    const view_position missedPosition = reader.position();
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("u", 7)}), startTime);
    const fleet_state::heartbeat_result result
        = peer.applyHeartbeat(reader.heartbeatWithChanges(missedPosition, startTime), startTime);
    cr_assert_not(result.viewChanged);
    cr_assert(result.shouldRequestView);
}

TestSuite(member_discovery);

Test(member_discovery, missing_members_are_requested_at_limited_rate)
{
    fleet_state first(makeMember("e1"));
    fleet_state second(makeMember("e2"));
    first.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    exchangeHeartbeat(first, second, startTime);
    first.applyHeartbeat(makeHeartbeat("e2"), startTime);
    first.applyHeartbeat(makeHeartbeat("e3"), startTime);
    cr_assert(second.applyHeartbeat(first.basicHeartbeat(startTime), startTime).shouldRequestView);
    cr_assert_not(second.applyHeartbeat(first.basicHeartbeat(startTime), startTime).shouldRequestView);
    second.applyViewResponse(
        first.makeViewResponse({second.position()}, startTime), std::nullopt, startTime, startTime);
    cr_assert_eq(second.members().peers().size(), 2);
}

TestSuite(config_version_is_monotonic);

Test(config_version_is_monotonic, older_version_from_store_or_peer_is_ignored)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 5, {}), startTime);
    cr_assert_not(entry.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime));
    view_response stale;
    stale.config = {4, 0, "v4"};
    stale.position.configVersion = 4;
    entry.applyViewResponse(stale, makeConfig(4), startTime, startTime);
    cr_assert_eq(entry.view(startTime)->config->version, 5);
}

TestSuite(partial_store_reads);

Test(partial_store_reads, partial_backend_read_is_applied_without_refreshing_view)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const time_point later = startTime + seconds(1);
    store_read_result partialRead = makeStoreRead(later, 3, {makeBackendRecord("t", 1)});
    partialRead.backendsRead = false;
    cr_assert(entry.applyStoreRead(partialRead, later));
    cr_assert_eq(entry.view(later)->backends->at("lots").size(), 2);
    cr_assert_eq(entry.position().backendsEnd, 2);
    cr_assert_eq(entry.freshAt(), startTime);
}

TestSuite(member_shutdown);

Test(member_shutdown, member_that_shuts_down_is_not_ready)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_eq(entry.view(startTime)->readyMembers.size(), 1);
    entry.startShutdown();
    cr_assert(entry.view(startTime)->readyMembers.empty());
    entry.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    cr_assert(entry.view(startTime)->readyMembers.empty());
}

TestSuite(config_update_fallback);

Test(config_update_fallback, failed_delta_keeps_view_and_requests_full_config)
{
    fleet_state sender(makeMember("e1"));
    sender.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    sender.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    fleet_state receiver(makeMember("e2"));
    store_read_result differentRead = makeStoreRead(startTime, 3, {});
    differentRead.config->text += " written by somebody else";
    receiver.applyStoreRead(differentRead, startTime);
    const view_response delta = sender.makeViewResponse(receiver.makeViewRequest(), startTime);
    cr_assert_eq(delta.config->baseVersion, 3);
    cr_assert_not(receiver.restoreConfig(*delta.config));
    cr_assert_eq(receiver.view(startTime)->config->version, 3);
    const view_response fullMessage = sender.makeViewResponse(receiver.makeViewRequest(), startTime);
    cr_assert_eq(fullMessage.config->baseVersion, 0);
    cr_assert(*receiver.restoreConfig(*fullMessage.config).value() == makeConfig(4).text);
}

Test(config_update_fallback, known_version_is_not_restored_again)
{
    fleet_state sender(makeMember("e1"));
    sender.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    fleet_state receiver(makeMember("e2"));
    receiver.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    cr_assert_not(receiver.restoreConfig(*sender.makeViewResponse({}, startTime).config).value().has_value());
}

TestSuite(peer_message_encoding);

Test(peer_message_encoding, messages_round_trip)
{
    fleet_state reader(makeMember("e1"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0), makeBackendRecord("t", 1)}),
                          startTime);
    heartbeat_message heartbeat = reader.heartbeatWithChanges({}, startTime + milliseconds(30));
    heartbeat.gossipedMembers = {{makeMember("e2"), milliseconds(40)}};
    cr_assert(heartbeat.changes.has_value());
    for (backend_record &record : heartbeat.changes->records) {
        record.server->warmupEndsAt = startTime;
    }
    cr_assert(decodeHeartbeat(encode(heartbeat, startTime), startTime).value() == heartbeat);
    const view_request request{{1, 2, 3, 4, 2}};
    cr_assert(std::get<view_request>(decodeRequest(encode(request), startTime).value()) == request);
    view_response response = reader.makeViewResponse({}, startTime);
    for (backend_record &record : response.backends) {
        record.server->warmupEndsAt = startTime + milliseconds(700);
    }
    cr_assert(decodeViewResponse(encode(response, startTime), startTime).value() == response);
    const view_update update{{1, 2, 3, 4, 2}, response, {"10.0.0.1", "10.0.0.2"}};
    cr_assert(std::get<view_update>(decodeRequest(encode(update, startTime), startTime).value()) == update);
}

Test(peer_message_encoding, truncated_or_invalid_messages_are_rejected)
{
    fleet_state reader(makeMember("e1"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const std::string fullMessage = encode(reader.makeViewResponse({}, startTime), startTime);
    for (std::size_t size = 0; size < fullMessage.size(); ++size) {
        cr_assert_not(decodeViewResponse(fullMessage.substr(0, size), startTime));
    }
    cr_assert_not(decodeHeartbeat("\x93\x01\x02\x03", startTime));
    const std::string update = encode(view_update{{}, reader.makeViewResponse({}, startTime), {"10.0.0.1"}}, startTime);
    for (std::size_t size = 0; size < update.size(); ++size) {
        cr_assert_not(decodeRequest(update.substr(0, size), startTime));
    }
    cr_assert_not(decodeRequest("\x92\x07\x90", startTime));
}

// Guards against a damaged age that makes a view count as current, or a member as alive, for good.
Test(peer_message_encoding, ages_out_of_range_are_rejected)
{
    fleet_state reader(makeMember("e1"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    for (const milliseconds age :
         {milliseconds(-1), milliseconds::min(), milliseconds::max(), milliseconds(1LL << 40)}) {
        heartbeat_message heartbeat = reader.basicHeartbeat(startTime);
        heartbeat.viewAge = age;
        cr_assert_not(decodeHeartbeat(encode(heartbeat, startTime), startTime));
        heartbeat.viewAge = milliseconds(1);
        cr_assert(decodeHeartbeat(encode(heartbeat, startTime), startTime));
        heartbeat.gossipedMembers = {{makeMember("e2"), age}};
        cr_assert_not(decodeHeartbeat(encode(heartbeat, startTime), startTime));
    }
}

// Guards against a nested message that overflows the stack of the decoder.
Test(peer_message_encoding, deeply_nested_messages_are_rejected)
{
    for (const char nesting : {'\x91', '\x81'}) {
        const std::string nested(1'000'000, nesting);
        cr_assert_not(decodeHeartbeat(nested, startTime));
        cr_assert_not(decodeRequest(compress(nested), startTime));
        cr_assert_not(decodeViewResponse(compress(nested), startTime));
    }
}

TestSuite(listing_after_dropped_history);

namespace {

store_read_result makeListing(time_point at, std::vector<backend_record> backends, store_offset end)
{
    store_read_result readResult = makeStoreRead(at, 3, std::move(backends));
    readResult.completeListing = true;
    readResult.backendsEnd = end;
    return readResult;
}

backend_record makeDrainingRecord(const std::string &id, store_offset offset)
{
    backend_record record = makeBackendRecord(id, offset);
    record.server->draining = true;
    return record;
}

/** A reading entry and its peer know s1 and s2; the reader then finds in a listing up to offset 5 that s1 has left. */
struct listing_fixture
{
    listing_fixture()
        : reader(makeMember("e1"))
        , peer(makeMember("e2"))
    {
        for (fleet_state *entry : {&reader, &peer}) {
            entry->recordMembershipKnown();
            entry->applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s1", 0), makeBackendRecord("s2", 1)}),
                                  startTime);
        }
        read(makeListing(now, {makeBackendRecord("s2", 4)}, 5));
    }

    /** Applies a read at the reader and sends the heartbeat that announces its changes to the peer. */
    void read(const store_read_result &readResult)
    {
        const view_position before = reader.position();
        reader.applyStoreRead(readResult, now);
        deliverHeartbeat(reader, reader.heartbeatWithChanges(before, now), peer, now);
    }

    std::size_t peerServers() const
    {
        const auto servers = peer.view(now)->backends;
        return servers->contains("lots") ? servers->at("lots").size() : 0;
    }

    time_point now = startTime + milliseconds(100);
    fleet_state reader;
    fleet_state peer;
};

}

// Guards against a drain that only the reading entry learns: a removal found in a listing took the next record's
// offset.
Test(listing_after_dropped_history, next_record_reaches_peers)
{
    for (const backend_record &next : {makeDrainingRecord("s2", 5), backend_record{"s2", 5, std::nullopt}}) {
        listing_fixture fixture;
        cr_assert_eq(fixture.peerServers(), 1);
        fixture.now += milliseconds(100);
        fixture.read(makeStoreRead(fixture.now, 3, {next}));
        cr_assert_eq(fixture.peerServers(), 0);
    }
}

Test(listing_after_dropped_history, next_record_reaches_peer_that_missed_the_change)
{
    listing_fixture fixture;
    fixture.now += milliseconds(100);
    fixture.reader.applyStoreRead(makeStoreRead(fixture.now, 3, {makeDrainingRecord("s2", 5)}), fixture.now);
    cr_assert_eq(fixture.peerServers(), 1);
    exchangeHeartbeat(fixture.reader, fixture.peer, fixture.now);
    cr_assert_eq(fixture.peerServers(), 0);
}

TestSuite(configuration_that_cannot_be_restored);

// Guards against an entry that never reads a version, as it counts as current without the configuration that a peer
// sent and that could not be restored; the peer may end before it is asked again.
Test(configuration_that_cannot_be_restored, view_without_it_is_not_current)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    for (fleet_state *entry : {&reader, &peer}) {
        entry->applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s1", 0)}), startTime);
    }
    const time_point now = startTime + milliseconds(500);
    reader.applyStoreRead(makeStoreRead(now, 5, {}), now);
    const auto result = peer.applyHeartbeat(reader.basicHeartbeat(now), now);
    cr_assert(result.shouldRequestView);
    const view_response response = reader.makeViewResponse(peer.makeViewRequest(), now);
    peer.applyViewResponse(response, std::nullopt, result.announcedFreshAt, now);
    cr_assert_eq(peer.position().configEnd, 3);
    cr_assert_eq(peer.freshAt(), startTime);
    peer.applyViewResponse(response, makeConfig(5), result.announcedFreshAt, now);
    cr_assert_eq(peer.position().configEnd, 5);
    cr_assert_eq(peer.freshAt(), now);
}
