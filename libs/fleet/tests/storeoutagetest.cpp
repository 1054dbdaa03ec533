#include "fleetfixture.h"

using namespace cardamomdeck;

TestSuite(reader_failover);

Test(reader_failover, last_rank_reads_within_max_read_age)
{
    fleet_state last(makeMember("e9"));
    for (int i = 1; i < 9; ++i) {
        last.applyHeartbeat(makeHeartbeat("e" + std::to_string(i)), startTime);
    }
    last.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_leq(last.nextRead(startTime), startTime + read_schedule::maxReadAge);
}

Test(reader_failover, second_rank_reads_after_first)
{
    fleet_state first(makeMember("e1"));
    fleet_state second(makeMember("e2"));
    second.applyHeartbeat(makeHeartbeat("e1"), startTime);
    first.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    second.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_lt(first.nextRead(startTime), second.nextRead(startTime));
}

Test(reader_failover, failed_read_is_retried_with_growing_delay)
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

Test(reader_failover, reads_of_large_fleet_are_staggered)
{
    constexpr std::size_t members = 119;
    read_schedule schedule;
    schedule.recordFresh(startTime);
    constexpr milliseconds propagationTime{30};
    const time_point readOfRank4 = schedule.nextRead(4, members);
    std::size_t simultaneousReads = 0;
    for (std::size_t rank = 5; rank < members; ++rank) {
        const time_point at = schedule.nextRead(rank, members);
        cr_assert_leq(at, startTime + read_schedule::maxReadAge);
        simultaneousReads += at < readOfRank4 + propagationTime ? 1 : 0;
    }
    cr_assert_lt(simultaneousReads, members / 6);
}

TestSuite(store_outage);

Test(store_outage, configuration_change_applies_without_backend_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const time_point later = startTime + milliseconds(700);
    store_read_result partialRead = makeStoreRead(later, 4, {});
    partialRead.backendsRead = false;
    cr_assert(entry.applyStoreRead(partialRead, later));
    cr_assert_eq(entry.view(later)->config->version, 4);
    cr_assert_eq(entry.view(later)->backends->at("lots").size(), 1);
    cr_assert_eq(entry.freshAt(), startTime);
}

Test(store_outage, backend_removal_applies_without_configuration_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {makeBackendRecord("s", 0)}), startTime);
    const time_point later = startTime + milliseconds(700);
    store_read_result partialRead = makeFailedStoreRead(later);
    partialRead.backendsRead = true;
    partialRead.backends = {{"s", 1, std::nullopt}};
    partialRead.backendsEnd = 2;
    cr_assert(entry.applyStoreRead(partialRead, later));
    cr_assert(entry.view(later)->backends->empty());
    cr_assert_eq(entry.view(later)->config->version, 3);
    cr_assert_eq(entry.freshAt(), startTime);
}

namespace {

constexpr seconds outageDuration{8};

struct outage_reads
{
    std::size_t duringOutage = 0;
    /** First read after the outage by a remaining member. */
    time_point firstReadAfterOutage = time_point::max();
};

/**
 * Simulates the reads of @p members entries during a store outage; the first @p removedMembers by rank are removed when
 * the store recovers.
 */
outage_reads simulateReadsDuringOutage(std::size_t members, std::size_t removedMembers)
{
    outage_reads reads;
    for (std::size_t rank = 0; rank < members; ++rank) {
        read_schedule schedule;
        schedule.recordFresh(startTime);
        for (time_point at = schedule.nextRead(rank, members); at < startTime + outageDuration;
             at = schedule.nextRead(rank, members)) {
            schedule.recordFailure(at);
            ++reads.duringOutage;
        }
        if (rank >= removedMembers) {
            const time_point due = schedule.nextRead(rank - removedMembers, members - removedMembers);
            reads.firstReadAfterOutage
                = std::min(reads.firstReadAfterOutage, std::max(due, startTime + outageDuration));
        }
    }
    return reads;
}

}

Test(store_outage, in_a_large_fleet_few_members_retry_often_and_the_others_rarely)
{
    for (const std::size_t members : {15U, 119U, 312U, 1000U}) {
        const outage_reads reads = simulateReadsDuringOutage(members, 0);
        // Each entry reads once, the fast-retry members every 1.6 s, and the others together at most 27 times a second.
        const std::size_t fastRetryReads = read_schedule::fastRetryMembers * 8;
        constexpr std::size_t slowRetryReadsPerSecond = 27;
        cr_assert_leq(
            reads.duringOutage, members + fastRetryReads + slowRetryReadsPerSecond * 8, "%zu members", members);
        cr_assert_leq(
            reads.firstReadAfterOutage, startTime + outageDuration + milliseconds(400), "%zu members", members);
    }
}

Test(store_outage, recovery_is_detected_as_fast_without_the_fast_retry_members)
{
    for (const std::size_t members : {15U, 119U, 312U, 1000U}) {
        for (const std::size_t removedMembers : {1U, 5U, 8U}) {
            const outage_reads reads = simulateReadsDuringOutage(members, removedMembers);
            cr_assert_leq(reads.firstReadAfterOutage,
                          startTime + outageDuration + milliseconds(400),
                          "%zu of %zu removed",
                          removedMembers,
                          members);
        }
    }
}

Test(store_outage, a_member_with_a_failed_read_reads_in_time_after_peer_updates_stop)
{
    constexpr std::size_t members = 312;
    constexpr std::size_t rank = 200;
    read_schedule schedule;
    schedule.recordFresh(startTime);
    const time_point failedAt = schedule.nextRead(rank, members);
    schedule.recordFailure(failedAt);
    schedule.recordFresh(failedAt + milliseconds(100));
    cr_assert_leq(schedule.nextRead(rank, members), failedAt + milliseconds(100) + read_schedule::maxReadAge);
}

TestSuite(view_after_suspension);

Test(view_after_suspension, next_read_is_due_at_once)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    entry.recordProcessResumed(startTime + milliseconds(10));
    cr_assert_leq(entry.nextRead(startTime), startTime + milliseconds(10));
}

Test(view_after_suspension, the_view_is_possibly_stale_until_the_next_read)
{
    fleet_state entry(makeMember("e1"));
    cr_assert_not(entry.isPossiblyStale(startTime));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    cr_assert_not(entry.isPossiblyStale(startTime + milliseconds(100)));
    entry.recordProcessResumed(startTime + milliseconds(200));
    cr_assert(entry.isPossiblyStale(startTime + milliseconds(200)));
    entry.applyStoreRead(makeStoreRead(startTime + milliseconds(210), 3, {}), startTime + milliseconds(210));
    cr_assert_not(entry.isPossiblyStale(startTime + milliseconds(220)));
}

TestSuite(view_after_long_pause);

Test(view_after_long_pause, the_view_is_possibly_stale_until_the_next_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point resumedAt = startTime + seconds(6);
    entry.recordProcessResumed(resumedAt);
    cr_assert(entry.isPossiblyStale(resumedAt));
    entry.applyStoreRead(makeStoreRead(resumedAt, 3, {}), resumedAt);
    cr_assert_not(entry.isPossiblyStale(resumedAt));
}

Test(view_after_long_pause, read_started_before_resume_does_not_confirm_view)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point resumedAt = startTime + seconds(6);
    entry.recordProcessResumed(resumedAt);
    entry.applyStoreRead(makeStoreRead(startTime + milliseconds(700), 3, {}), resumedAt);
    cr_assert(entry.isPossiblyStale(resumedAt));
    cr_assert_leq(entry.nextRead(resumedAt), resumedAt);
}

Test(view_after_long_pause, possibly_stale_state_ends_with_time_limit_or_failed_read)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point resumedAt = startTime + seconds(6);
    entry.recordProcessResumed(resumedAt);
    cr_assert_not(entry.isPossiblyStale(resumedAt + fleet_state::maxPossiblyStaleTime));
    entry.recordProcessResumed(resumedAt);
    entry.applyStoreRead(makeFailedStoreRead(resumedAt), resumedAt + milliseconds(10));
    cr_assert_not(entry.isPossiblyStale(resumedAt + milliseconds(10)));
}

TestSuite(long_store_outage);

Test(long_store_outage, view_is_never_possibly_stale_during_outage)
{
    fleet_state entry(makeMember("e1"));
    fleet_state peer(makeMember("e2"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    exchangeHeartbeat(entry, peer, startTime);
    for (milliseconds sinceStart{0}; sinceStart < seconds(8); sinceStart += milliseconds(400)) {
        const time_point now = startTime + sinceStart;
        cr_assert_not(entry.isPossiblyStale(now));
        entry.applyHeartbeat(peer.basicHeartbeat(now), now);
        cr_assert_not(entry.isPossiblyStale(now));
        entry.applyStoreRead(makeFailedStoreRead(now), now);
    }
}
