#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(one_entry_reads_and_tells_the_others);

Test(one_entry_reads_and_tells_the_others, a_peer_takes_over_what_it_lacks)
{
    fleet_state reader(member("e1"));
    fleet_state peer(member("e2"));
    reader.applyReading(reading(start, 3, {backend("s", 0)}), start);
    exchange(reader, peer, start);
    cr_assert_eq(peer.view(start)->config->version, 3);
    cr_assert_eq(peer.view(start)->backends->at("lots").size(), 1);
    cr_assert(peer.position() == reader.position());
}

Test(one_entry_reads_and_tells_the_others, a_peer_that_knows_as_much_only_notes_the_age)
{
    fleet_state reader(member("e1"));
    fleet_state peer(member("e2"));
    reader.applyReading(reading(start, 3, {backend("s", 0)}), start);
    exchange(reader, peer, start);
    const time_point later = start + milliseconds(500);
    reader.applyReading(reading(later, 3, {}), later);
    cr_assert_not(peer.hear(reader.notice(later), later).ask);
    cr_assert_geq(peer.nextRead(later), later + read_schedule::firstAge);
}

Test(one_entry_reads_and_tells_the_others, an_age_is_not_taken_over_before_its_news)
{
    fleet_state reader(member("e2"));
    fleet_state peer(member("e1"));
    peer.applyReading(reading(start, 3, {}), start);
    const time_point later = start + milliseconds(900);
    reader.applyReading(reading(later, 4, {}), later);
    const time_point before = peer.nextRead(later);
    cr_assert(peer.hear(reader.notice(later), later).ask);
    cr_assert_eq(peer.nextRead(later), before);
}

Test(one_entry_reads_and_tells_the_others, a_few_changes_come_with_the_notice)
{
    fleet_state reader(member("e1"));
    fleet_state peer(member("e2"));
    reader.applyReading(reading(start, 3, {backend("s", 0)}), start);
    exchange(reader, peer, start);
    const view_position before = reader.position();
    const time_point later = start + milliseconds(500);
    reader.applyReading(reading(later, 3, {backend("t", 5)}), later);
    const fleet_state::hearing heard = peer.hear(reader.news(before, later), later);
    cr_assert(heard.viewChanged);
    cr_assert_not(heard.ask);
    cr_assert_eq(peer.view(later)->backends->at("lots").size(), 2);
}

Test(one_entry_reads_and_tells_the_others, changes_with_a_gap_before_them_are_asked_for)
{
    fleet_state reader(member("e1"));
    fleet_state peer(member("e2"));
    reader.applyReading(reading(start, 3, {backend("s", 0)}), start);
    exchange(reader, peer, start);
    reader.applyReading(reading(start, 3, {backend("t", 5)}), start);
    const view_position missed = reader.position();
    reader.applyReading(reading(start, 3, {backend("u", 7)}), start);
    const fleet_state::hearing heard = peer.hear(reader.news(missed, start), start);
    cr_assert_not(heard.viewChanged);
    cr_assert(heard.ask);
}

TestSuite(entries_find_each_other);

Test(entries_find_each_other, one_that_knows_fewer_members_asks_now_and_then)
{
    fleet_state first(member("e1"));
    fleet_state second(member("e2"));
    first.applyReading(reading(start, 3, {}), start);
    exchange(first, second, start);
    first.hear(heartbeatOf("e2"), start);
    first.hear(heartbeatOf("e3"), start);
    cr_assert(second.hear(first.notice(start), start).ask);
    cr_assert_not(second.hear(first.notice(start), start).ask);
    second.applyAnswer(first.answer({second.position()}, start), std::nullopt, milliseconds(0), start, start);
    cr_assert_eq(second.members().peers().size(), 2);
}

TestSuite(the_configuration_never_goes_back);

Test(the_configuration_never_goes_back, an_older_version_from_the_store_or_a_peer_is_ignored)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 5, {}), start);
    cr_assert_not(entry.applyReading(reading(start, 4, {}), start));
    view_answer stale;
    stale.config = {4, 0, "v4"};
    stale.position.configVersion = 4;
    entry.applyAnswer(stale, config(4), milliseconds(0), start, start);
    cr_assert_eq(entry.view(start)->config->version, 5);
}

TestSuite(reports_come_in_several_answers_of_the_store);

Test(reports_come_in_several_answers_of_the_store, those_before_a_failed_call_hold_and_the_view_is_not_fresh)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {backend("s", 0)}), start);
    const time_point later = start + seconds(1);
    store_reading part = reading(later, 3, {backend("t", 1)});
    part.backendsRead = false;
    cr_assert(entry.applyReading(part, later));
    cr_assert_eq(entry.view(later)->backends->at("lots").size(), 2);
    cr_assert_eq(entry.position().backendsEnd, 2);
    cr_assert_eq(entry.freshAt(), start);
}

TestSuite(an_entry_shuts_down);

Test(an_entry_shuts_down, callers_are_not_sent_to_it_any_more)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {}), start);
    cr_assert_eq(entry.view(start)->readyMembers.size(), 1);
    entry.startLeaving();
    cr_assert(entry.view(start)->readyMembers.empty());
    entry.applyReading(reading(start, 4, {}), start);
    cr_assert(entry.view(start)->readyMembers.empty());
}

TestSuite(a_change_of_the_configuration_cannot_be_applied);

Test(a_change_of_the_configuration_cannot_be_applied, the_view_stays_and_the_whole_is_asked_for)
{
    fleet_state sender(member("e1"));
    sender.applyReading(reading(start, 3, {}), start);
    sender.applyReading(reading(start, 4, {}), start);
    fleet_state receiver(member("e2"));
    store_reading other = reading(start, 3, {});
    other.config->text += " written by somebody else";
    receiver.applyReading(other, start);
    const view_answer change = sender.answer(receiver.question(), start);
    cr_assert_eq(change.config->base, 3);
    cr_assert_not(receiver.restoreConfig(*change.config));
    cr_assert_eq(receiver.view(start)->config->version, 3);
    const view_answer whole = sender.answer(receiver.question(), start);
    cr_assert_eq(whole.config->base, 0);
    cr_assert(*receiver.restoreConfig(*whole.config).value() == config(4).text);
}

Test(a_change_of_the_configuration_cannot_be_applied, a_known_version_is_not_restored_again)
{
    fleet_state sender(member("e1"));
    sender.applyReading(reading(start, 4, {}), start);
    fleet_state receiver(member("e2"));
    receiver.applyReading(reading(start, 4, {}), start);
    cr_assert_not(receiver.restoreConfig(*sender.answer({}, start).config).value().has_value());
}

TestSuite(messages_between_entries);

Test(messages_between_entries, keep_their_content)
{
    fleet_state reader(member("e1"));
    reader.applyReading(reading(start, 3, {backend("s", 0), backend("t", 1)}), start);
    peer_notice notice = reader.news({}, start + milliseconds(30));
    notice.sightings = {{member("e2"), milliseconds(40)}};
    cr_assert(notice.changes.has_value());
    for (backend_record &record : notice.changes->records) {
        record.server->warmUntil = start;
    }
    cr_assert(decodeNotice(encode(notice, start), start).value() == notice);
    const view_question question{{1, 2, 3, 4}};
    cr_assert(std::get<view_question>(decodeRequest(encode(question), start).value()) == question);
    view_answer answer = reader.answer({}, start);
    for (backend_record &record : answer.backends) {
        record.server->warmUntil = start + milliseconds(700);
    }
    cr_assert(decodeAnswer(encode(answer, start), start).value() == answer);
    const view_push push{{1, 2, 3, 4}, answer, {"10.0.0.1", "10.0.0.2"}};
    cr_assert(std::get<view_push>(decodeRequest(encode(push, start), start).value()) == push);
}

Test(messages_between_entries, damaged_ones_are_refused)
{
    fleet_state reader(member("e1"));
    reader.applyReading(reading(start, 3, {backend("s", 0)}), start);
    const std::string whole = encode(reader.answer({}, start), start);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        cr_assert_not(decodeAnswer(whole.substr(0, size), start));
    }
    cr_assert_not(decodeNotice("\x93\x01\x02\x03", start));
    const std::string push = encode(view_push{{}, reader.answer({}, start), {"10.0.0.1"}}, start);
    for (std::size_t size = 0; size < push.size(); ++size) {
        cr_assert_not(decodeRequest(push.substr(0, size), start));
    }
    cr_assert_not(decodeRequest("\x92\x07\x90", start));
}
