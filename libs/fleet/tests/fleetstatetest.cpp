#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(view_propagation);

Test(view_propagation, a_peer_takes_over_what_it_lacks)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    cr_assert_eq(peer.view(startTime)->config->version, 3);
    cr_assert_eq(peer.view(startTime)->backends->at("lots").size(), 1);
    cr_assert(peer.position() == reader.position());
}

Test(view_propagation, a_peer_that_knows_as_much_only_notes_the_age)
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

Test(view_propagation, a_few_changes_come_with_the_notice)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    const view_position before = reader.position();
    const time_point later = startTime + milliseconds(500);
    reader.applyStoreRead(makeStoreRead(later, 3, {makeBackendRecord("t", 5)}), later);
    const fleet_state::heartbeat_result heard = peer.applyHeartbeat(reader.heartbeatWithChanges(before, later), later);
    cr_assert(heard.viewChanged);
    cr_assert_not(heard.shouldRequestView);
    cr_assert_eq(peer.view(later)->backends->at("lots").size(), 2);
}

Test(view_propagation, changes_with_a_gap_before_them_are_asked_for)
{
    fleet_state reader(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    exchangeHeartbeat(reader, peer, startTime);
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("t", 5)}), startTime);
    const view_position missed = reader.position();
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("u", 7)}), startTime);
    const fleet_state::heartbeat_result heard
        = peer.applyHeartbeat(reader.heartbeatWithChanges(missed, startTime), startTime);
    cr_assert_not(heard.viewChanged);
    cr_assert(heard.shouldRequestView);
}

TestSuite(member_discovery);

Test(member_discovery, one_that_knows_fewer_members_asks_now_and_then)
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
        first.makeViewResponse({second.position()}, startTime), std::nullopt, milliseconds(0), startTime, startTime);
    cr_assert_eq(second.members().peers().size(), 2);
}

TestSuite(config_version_is_monotonic);

Test(config_version_is_monotonic, an_older_version_from_the_store_or_a_peer_is_ignored)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 5, {}), startTime);
    cr_assert_not(entry.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime));
    view_response stale;
    stale.config = {4, 0, "v4"};
    stale.position.configVersion = 4;
    entry.applyViewResponse(stale, makeConfig(4), milliseconds(0), startTime, startTime);
    cr_assert_eq(entry.view(startTime)->config->version, 5);
}

TestSuite(partial_store_reads);

Test(partial_store_reads, those_before_a_failed_call_hold_and_the_view_is_not_fresh)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const time_point later = startTime + seconds(1);
    store_read_result part = makeStoreRead(later, 3, {makeBackendRecord("t", 1)});
    part.backendsRead = false;
    cr_assert(entry.applyStoreRead(part, later));
    cr_assert_eq(entry.view(later)->backends->at("lots").size(), 2);
    cr_assert_eq(entry.position().backendsEndOffset, 2);
    cr_assert_eq(entry.freshAt(), startTime);
}

TestSuite(member_shutdown);

Test(member_shutdown, callers_are_not_sent_to_it_any_more)
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

Test(config_update_fallback, the_view_stays_and_the_whole_is_asked_for)
{
    fleet_state sender(makeMember("e1"));
    sender.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    sender.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    fleet_state receiver(makeMember("e2"));
    store_read_result other = makeStoreRead(startTime, 3, {});
    other.config->text += " written by somebody else";
    receiver.applyStoreRead(other, startTime);
    const view_response change = sender.makeViewResponse(receiver.makeViewRequest(), startTime);
    cr_assert_eq(change.config->baseVersion, 3);
    cr_assert_not(receiver.restoreConfig(*change.config));
    cr_assert_eq(receiver.view(startTime)->config->version, 3);
    const view_response whole = sender.makeViewResponse(receiver.makeViewRequest(), startTime);
    cr_assert_eq(whole.config->baseVersion, 0);
    cr_assert(*receiver.restoreConfig(*whole.config).value() == makeConfig(4).text);
}

Test(config_update_fallback, a_known_version_is_not_restored_again)
{
    fleet_state sender(makeMember("e1"));
    sender.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    fleet_state receiver(makeMember("e2"));
    receiver.applyStoreRead(makeStoreRead(startTime, 4, {}), startTime);
    cr_assert_not(receiver.restoreConfig(*sender.makeViewResponse({}, startTime).config).value().has_value());
}

TestSuite(peer_message_encoding);

Test(peer_message_encoding, keep_their_content)
{
    fleet_state reader(makeMember("e1"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0), makeBackendRecord("t", 1)}),
                          startTime);
    heartbeat_message notice = reader.heartbeatWithChanges({}, startTime + milliseconds(30));
    notice.gossipedMembers = {{makeMember("e2"), milliseconds(40)}};
    cr_assert(notice.changes.has_value());
    for (backend_record &record : notice.changes->records) {
        record.server->warmupEndsAt = startTime;
    }
    cr_assert(decodeHeartbeat(encode(notice, startTime), startTime).value() == notice);
    const view_request question{{1, 2, 3, 4}};
    cr_assert(std::get<view_request>(decodeRequest(encode(question), startTime).value()) == question);
    view_response answer = reader.makeViewResponse({}, startTime);
    for (backend_record &record : answer.backends) {
        record.server->warmupEndsAt = startTime + milliseconds(700);
    }
    cr_assert(decodeViewResponse(encode(answer, startTime), startTime).value() == answer);
    const view_update push{{1, 2, 3, 4}, answer, {"10.0.0.1", "10.0.0.2"}};
    cr_assert(std::get<view_update>(decodeRequest(encode(push, startTime), startTime).value()) == push);
}

Test(peer_message_encoding, damaged_ones_are_refused)
{
    fleet_state reader(makeMember("e1"));
    reader.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const std::string whole = encode(reader.makeViewResponse({}, startTime), startTime);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        cr_assert_not(decodeViewResponse(whole.substr(0, size), startTime));
    }
    cr_assert_not(decodeHeartbeat("\x93\x01\x02\x03", startTime));
    const std::string push = encode(view_update{{}, reader.makeViewResponse({}, startTime), {"10.0.0.1"}}, startTime);
    for (std::size_t size = 0; size < push.size(); ++size) {
        cr_assert_not(decodeRequest(push.substr(0, size), startTime));
    }
    cr_assert_not(decodeRequest("\x92\x07\x90", startTime));
}
