#include "cardamomdeck/fleet/fleetcontact.h"
#include "fleetfixture.h"

using namespace cardamomdeck;

// An entry that is out of contact may not know how many entries there are. A share of a limit of the whole fleet that
// it took then would let the sum of all shares exceed the limit.

TestSuite(contact_with_the_fleet);

Test(contact_with_the_fleet, is_not_confirmed_before_the_first_view)
{
    const fleet_state entry(makeMember("e1"));
    cr_assert_not(contactOf(entry, startTime).confirmed);
}

Test(contact_with_the_fleet, is_lost_when_the_store_and_all_readers_are_away)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point lastMoment = startTime + fleet_state::storeOutageThreshold;
    cr_assert(contactOf(entry, lastMoment).confirmed);
    cr_assert_not(contactOf(entry, lastMoment + milliseconds(1)).confirmed);
    entry.applyStoreRead(makeFailedStoreRead(lastMoment), lastMoment + milliseconds(1));
    cr_assert_not(contactOf(entry, lastMoment + milliseconds(1)).confirmed);
}

Test(contact_with_the_fleet, is_confirmed_after_a_pause_only_by_what_was_read_after_it)
{
    fleet_state entry(makeMember("e1"));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    const time_point resumedAt = startTime + milliseconds(900);
    entry.recordProcessResumed(resumedAt);
    cr_assert_not(contactOf(entry, resumedAt).confirmed);
    cr_assert_eq(contactOf(entry, resumedAt).resumedAt, resumedAt);
    // Requests to other servers go on after this time, or after a failed read.
    const time_point later = resumedAt + fleet_state::maxPossiblyStaleTime;
    entry.applyStoreRead(makeFailedStoreRead(resumedAt), later);
    cr_assert_not(entry.isPossiblyStale(later));
    cr_assert_not(contactOf(entry, later).confirmed);
    entry.applyStoreRead(makeStoreRead(later, 3, {}), later);
    cr_assert(contactOf(entry, later).confirmed);
}

Test(contact_with_the_fleet, entries_that_went_silent_are_still_known)
{
    fleet_state entry(makeMember("e1"));
    for (int i = 2; i <= 9; ++i) {
        entry.applyHeartbeat(makeHeartbeat("e" + std::to_string(i)), startTime);
    }
    time_point now = startTime;
    for (; now < startTime + seconds(100); now += milliseconds(400)) {
        entry.expire(now);
        cr_assert_eq(contactOf(entry, now).knownEntries, 9);
    }
    cr_assert_eq(entry.view(now)->liveMembers, 1);
}
