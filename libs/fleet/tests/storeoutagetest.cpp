#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(readers_fall_silent);

Test(readers_fall_silent, every_entry_reads_before_its_view_is_too_old_whatever_its_rank)
{
    fleet_state last(member("e9"));
    for (int i = 1; i < 9; ++i) {
        last.hear(heartbeatOf("e" + std::to_string(i)), start);
    }
    last.applyReading(reading(start, 3, {}), start);
    cr_assert_leq(last.nextRead(start), start + read_schedule::lastAge);
}

Test(readers_fall_silent, the_next_by_rank_reads_a_moment_after_the_first)
{
    fleet_state first(member("e1"));
    fleet_state second(member("e2"));
    second.hear(heartbeatOf("e1"), start);
    first.applyReading(reading(start, 3, {}), start);
    second.applyReading(reading(start, 3, {}), start);
    cr_assert_lt(first.nextRead(start), second.nextRead(start));
}

Test(readers_fall_silent, a_failed_read_is_repeated_after_a_growing_pause)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {}), start);
    const time_point failedAt = start + seconds(1);
    entry.applyReading(failedReading(failedAt), failedAt);
    const time_point first = entry.nextRead(failedAt);
    entry.applyReading(failedReading(first), first);
    cr_assert_gt(entry.nextRead(first) - first, first - failedAt);
    cr_assert_leq(entry.nextRead(first) - first, read_schedule::longestPause);
}

Test(readers_fall_silent, a_large_fleet_does_not_read_all_at_once)
{
    constexpr std::size_t members = 119;
    read_schedule schedule;
    schedule.noteFresh(start);
    constexpr milliseconds newsTime{30};
    const time_point firstOfTheRest = schedule.nextRead(4, members);
    std::size_t together = 0;
    for (std::size_t rank = 5; rank < members; ++rank) {
        const time_point at = schedule.nextRead(rank, members);
        cr_assert_leq(at, start + read_schedule::lastAge);
        together += at < firstOfTheRest + newsTime ? 1 : 0;
    }
    cr_assert_lt(together, members / 6);
}

TestSuite(the_store_is_away);

Test(the_store_is_away, a_change_of_the_configuration_is_in_force_though_the_back_ends_cannot_be_read)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {backend("s", 0)}), start);
    const time_point later = start + milliseconds(700);
    store_reading half = reading(later, 4, {});
    half.backendsRead = false;
    cr_assert(entry.applyReading(half, later));
    cr_assert_eq(entry.view(later)->config->version, 4);
    cr_assert_eq(entry.view(later)->backends->at("lots").size(), 1);
    cr_assert_eq(entry.freshAt(), start);
}

Test(the_store_is_away, a_back_end_that_leaves_gets_no_work_though_the_configuration_cannot_be_read)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {backend("s", 0)}), start);
    const time_point later = start + milliseconds(700);
    store_reading half = failedReading(later);
    half.backendsRead = true;
    half.backends = {{"s", 1, std::nullopt}};
    half.backendsEnd = 2;
    cr_assert(entry.applyReading(half, later));
    cr_assert(entry.view(later)->backends->empty());
    cr_assert_eq(entry.view(later)->config->version, 3);
    cr_assert_eq(entry.freshAt(), start);
}

namespace {

constexpr seconds outage{8};

struct outage_reads
{
    std::size_t during = 0;
    /** First read after the outage of those that are still there. */
    time_point firstAfter = time_point::max();
};

/** Reads of @p members entries whose store is away; the first @p gone by rank are gone when it returns. */
outage_reads readThroughOutage(std::size_t members, std::size_t gone)
{
    outage_reads reads;
    for (std::size_t rank = 0; rank < members; ++rank) {
        read_schedule schedule;
        schedule.noteFresh(start);
        for (time_point at = schedule.nextRead(rank, members); at < start + outage;
             at = schedule.nextRead(rank, members)) {
            schedule.noteFailure(at);
            ++reads.during;
        }
        if (rank >= gone) {
            const time_point due = schedule.nextRead(rank - gone, members - gone);
            reads.firstAfter = std::min(reads.firstAfter, std::max(due, start + outage));
        }
    }
    return reads;
}

}

Test(the_store_is_away, in_a_large_fleet_a_few_look_for_its_return_often_and_the_others_rarely)
{
    for (const std::size_t members : {15U, 119U, 312U, 1000U}) {
        const outage_reads reads = readThroughOutage(members, 0);
        // Each entry once, the watchers every 1.6 s, and the others 27 times a second at most.
        const std::size_t watching = read_schedule::watchers * 8;
        constexpr std::size_t othersASecond = 27;
        cr_assert_leq(reads.during, members + watching + othersASecond * 8, "%zu members", members);
        cr_assert_leq(reads.firstAfter, start + outage + milliseconds(400), "%zu members", members);
    }
}

Test(the_store_is_away, its_return_is_noticed_as_soon_when_those_who_looked_for_it_have_gone)
{
    for (const std::size_t members : {15U, 119U, 312U, 1000U}) {
        for (const std::size_t gone : {1U, 5U, 8U}) {
            const outage_reads reads = readThroughOutage(members, gone);
            cr_assert_leq(reads.firstAfter, start + outage + milliseconds(400), "%zu of %zu gone", gone, members);
        }
    }
}

Test(the_store_is_away, an_entry_that_it_turns_away_reads_again_in_time_when_the_news_of_others_end)
{
    constexpr std::size_t members = 312;
    constexpr std::size_t rank = 200;
    read_schedule schedule;
    schedule.noteFresh(start);
    const time_point failedAt = schedule.nextRead(rank, members);
    schedule.noteFailure(failedAt);
    schedule.noteFresh(failedAt + milliseconds(100));
    cr_assert_leq(schedule.nextRead(rank, members), failedAt + milliseconds(100) + read_schedule::lastAge);
}

TestSuite(the_process_was_suspended);

Test(the_process_was_suspended, its_view_is_read_again_at_once)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {}), start);
    entry.notePaused(start + milliseconds(10));
    cr_assert_leq(entry.nextRead(start), start + milliseconds(10));
}

Test(the_process_was_suspended, its_view_is_suspect_until_it_is_read_again)
{
    fleet_state entry(member("e1"));
    cr_assert_not(entry.isSuspect(start));
    entry.applyReading(reading(start, 3, {}), start);
    cr_assert_not(entry.isSuspect(start + milliseconds(100)));
    entry.notePaused(start + milliseconds(200));
    cr_assert(entry.isSuspect(start + milliseconds(200)));
    entry.applyReading(reading(start + milliseconds(210), 3, {}), start + milliseconds(210));
    cr_assert_not(entry.isSuspect(start + milliseconds(220)));
}

TestSuite(the_process_was_paused_by_a_signal);

Test(the_process_was_paused_by_a_signal, its_view_is_suspect_until_it_is_read_again)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {}), start);
    const time_point woken = start + seconds(6);
    entry.notePaused(woken);
    cr_assert(entry.isSuspect(woken));
    entry.applyReading(reading(woken, 3, {}), woken);
    cr_assert_not(entry.isSuspect(woken));
}

Test(the_process_was_paused_by_a_signal, a_read_that_began_before_is_not_enough)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {}), start);
    const time_point woken = start + seconds(6);
    entry.notePaused(woken);
    entry.applyReading(reading(start + milliseconds(700), 3, {}), woken);
    cr_assert(entry.isSuspect(woken));
    cr_assert_leq(entry.nextRead(woken), woken);
}

Test(the_process_was_paused_by_a_signal, requests_wait_no_longer_than_for_a_read)
{
    fleet_state entry(member("e1"));
    entry.applyReading(reading(start, 3, {}), start);
    const time_point woken = start + seconds(6);
    entry.notePaused(woken);
    cr_assert_not(entry.isSuspect(woken + fleet_state::suspicionTime));
    entry.notePaused(woken);
    entry.applyReading(failedReading(woken), woken + milliseconds(10));
    cr_assert_not(entry.isSuspect(woken + milliseconds(10)));
}

TestSuite(the_store_is_away_for_long);

Test(the_store_is_away_for_long, no_request_waits_for_a_view_whatever_the_peers_tell)
{
    fleet_state entry(member("e1"));
    fleet_state peer(member("e2"));
    entry.applyReading(reading(start, 3, {}), start);
    exchange(entry, peer, start);
    for (milliseconds away{0}; away < seconds(8); away += milliseconds(400)) {
        const time_point now = start + away;
        cr_assert_not(entry.isSuspect(now));
        entry.hear(peer.notice(now), now);
        cr_assert_not(entry.isSuspect(now));
        entry.applyReading(failedReading(now), now);
    }
}
