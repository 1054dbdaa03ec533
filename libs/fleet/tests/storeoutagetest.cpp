#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(reader_failover);

Test(reader_failover, every_entry_reads_before_its_view_is_too_old_whatever_its_rank)
{
    fleet_state last(makeMember("e9"));
    for (int i = 1; i < 9; ++i) {
        last.applyHeartbeat(makeHeartbeat("e" + std::to_string(i)), startTime);
    }
    last.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_leq(last.nextRead(startTime), startTime + read_schedule::maxReadAge);
}

Test(reader_failover, the_next_by_rank_reads_a_moment_after_the_first)
{
    fleet_state first(makeMember("e1"));
    fleet_state second(makeMember("e2"));
    second.applyHeartbeat(makeHeartbeat("e1"), startTime);
    first.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    second.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_lt(first.nextRead(startTime), second.nextRead(startTime));
}

Test(reader_failover, a_failed_read_is_retried_with_growing_delay)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point failedAt = startTime + seconds(1);
    entry.applyStoreRead(makeFailedStoreRead(failedAt), failedAt);
    const time_point first = entry.nextRead(failedAt);
    entry.applyStoreRead(makeFailedStoreRead(first), first);
    cr_assert_gt(entry.nextRead(first) - first, first - failedAt);
    cr_assert_leq(entry.nextRead(first) - first, read_schedule::maxRetryDelay);
}

Test(reader_failover, a_large_fleet_does_not_read_all_at_once)
{
    constexpr std::size_t members = 119;
    read_schedule schedule;
    schedule.noteFresh(startTime);
    constexpr milliseconds newsTime{30};
    const time_point firstOfTheRest = schedule.nextRead(4, members);
    std::size_t together = 0;
    for (std::size_t rank = 5; rank < members; ++rank) {
        const time_point at = schedule.nextRead(rank, members);
        cr_assert_leq(at, startTime + read_schedule::maxReadAge);
        together += at < firstOfTheRest + newsTime ? 1 : 0;
    }
    cr_assert_lt(together, members / 6);
}

TestSuite(store_outage);

Test(store_outage, a_change_of_the_configuration_is_in_force_though_the_back_ends_cannot_be_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const time_point later = startTime + milliseconds(700);
    store_read_result half = makeStoreRead(later, 4, {});
    half.backendsRead = false;
    cr_assert(entry.applyStoreRead(half, later));
    cr_assert_eq(entry.view(later)->config->version, 4);
    cr_assert_eq(entry.view(later)->backends->at("lots").size(), 1);
    cr_assert_eq(entry.freshAt(), startTime);
}

Test(store_outage, a_back_end_that_leaves_gets_no_work_though_the_configuration_cannot_be_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const time_point later = startTime + milliseconds(700);
    store_read_result half = makeFailedStoreRead(later);
    half.backendsRead = true;
    half.backends = {{"s", 1, std::nullopt}};
    half.backendsEndOffset = 2;
    cr_assert(entry.applyStoreRead(half, later));
    cr_assert(entry.view(later)->backends->empty());
    cr_assert_eq(entry.view(later)->config->version, 3);
    cr_assert_eq(entry.freshAt(), startTime);
}

namespace {

constexpr seconds outage{8};

struct outage_reads
{
    std::size_t during = 0;
    /** First read after the outage of those that are still there. */
    time_point firstReadAfterOutage = time_point::max();
};

/** Reads of @p members entries whose store is away; the first @p gone by rank are gone when it returns. */
outage_reads readThroughOutage(std::size_t members, std::size_t gone)
{
    outage_reads reads;
    for (std::size_t rank = 0; rank < members; ++rank) {
        read_schedule schedule;
        schedule.noteFresh(startTime);
        for (time_point at = schedule.nextRead(rank, members); at < startTime + outage;
             at = schedule.nextRead(rank, members)) {
            schedule.noteFailure(at);
            ++reads.during;
        }
        if (rank >= gone) {
            const time_point due = schedule.nextRead(rank - gone, members - gone);
            reads.firstReadAfterOutage = std::min(reads.firstReadAfterOutage, std::max(due, startTime + outage));
        }
    }
    return reads;
}

}

Test(store_outage, in_a_large_fleet_few_members_retry_often_and_the_others_rarely)
{
    for (const std::size_t members : {15U, 119U, 312U, 1000U}) {
        const outage_reads reads = readThroughOutage(members, 0);
        // Each entry once, the watchers every 1.6 s, and the others 27 times a second at most.
        const std::size_t watching = read_schedule::fastRetryMembers * 8;
        constexpr std::size_t othersASecond = 27;
        cr_assert_leq(reads.during, members + watching + othersASecond * 8, "%zu members", members);
        cr_assert_leq(reads.firstReadAfterOutage, startTime + outage + milliseconds(400), "%zu members", members);
    }
}

Test(store_outage, recovery_is_detected_as_fast_without_the_fast_retry_members)
{
    for (const std::size_t members : {15U, 119U, 312U, 1000U}) {
        for (const std::size_t gone : {1U, 5U, 8U}) {
            const outage_reads reads = readThroughOutage(members, gone);
            cr_assert_leq(
                reads.firstReadAfterOutage, startTime + outage + milliseconds(400), "%zu of %zu gone", gone, members);
        }
    }
}

Test(store_outage, a_member_with_a_failed_read_reads_in_time_after_peer_updates_stop)
{
    constexpr std::size_t members = 312;
    constexpr std::size_t rank = 200;
    read_schedule schedule;
    schedule.noteFresh(startTime);
    const time_point failedAt = schedule.nextRead(rank, members);
    schedule.noteFailure(failedAt);
    schedule.noteFresh(failedAt + milliseconds(100));
    cr_assert_leq(schedule.nextRead(rank, members), failedAt + milliseconds(100) + read_schedule::maxReadAge);
}

TestSuite(view_after_suspension);

Test(view_after_suspension, its_view_is_read_again_at_once)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    entry.noteProcessResumed(startTime + milliseconds(10));
    cr_assert_leq(entry.nextRead(startTime), startTime + milliseconds(10));
}

Test(view_after_suspension, the_view_is_possibly_stale_until_the_next_read)
{
    fleet_state entry(makeMember("e1"));
    cr_assert_not(entry.isPossiblyStale(startTime));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_not(entry.isPossiblyStale(startTime + milliseconds(100)));
    entry.noteProcessResumed(startTime + milliseconds(200));
    cr_assert(entry.isPossiblyStale(startTime + milliseconds(200)));
    entry.applyStoreRead(makeStoreRead(startTime + milliseconds(210), 3, {}), startTime + milliseconds(210));
    cr_assert_not(entry.isPossiblyStale(startTime + milliseconds(220)));
}

TestSuite(view_after_long_pause);

Test(view_after_long_pause, the_view_is_possibly_stale_until_the_next_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point woken = startTime + seconds(6);
    entry.noteProcessResumed(woken);
    cr_assert(entry.isPossiblyStale(woken));
    entry.applyStoreRead(makeStoreRead(woken, 3, {}), woken);
    cr_assert_not(entry.isPossiblyStale(woken));
}

Test(view_after_long_pause, a_read_that_began_before_is_not_enough)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point woken = startTime + seconds(6);
    entry.noteProcessResumed(woken);
    entry.applyStoreRead(makeStoreRead(startTime + milliseconds(700), 3, {}), woken);
    cr_assert(entry.isPossiblyStale(woken));
    cr_assert_leq(entry.nextRead(woken), woken);
}

Test(view_after_long_pause, requests_wait_no_longer_than_for_a_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point woken = startTime + seconds(6);
    entry.noteProcessResumed(woken);
    cr_assert_not(entry.isPossiblyStale(woken + fleet_state::maxPossiblyStaleTime));
    entry.noteProcessResumed(woken);
    entry.applyStoreRead(makeFailedStoreRead(woken), woken + milliseconds(10));
    cr_assert_not(entry.isPossiblyStale(woken + milliseconds(10)));
}

TestSuite(long_store_outage);

Test(long_store_outage, no_request_waits_for_a_view_whatever_the_peers_tell)
{
    fleet_state entry(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    exchangeHeartbeat(entry, peer, startTime);
    for (milliseconds away{0}; away < seconds(8); away += milliseconds(400)) {
        const time_point now = startTime + away;
        cr_assert_not(entry.isPossiblyStale(now));
        entry.applyHeartbeat(peer.basicHeartbeat(now), now);
        cr_assert_not(entry.isPossiblyStale(now));
        entry.applyStoreRead(makeFailedStoreRead(now), now);
    }
}
