#include "cardamomdeck/quota/fleetreach.h"

#include <criterion/criterion.h>

#include <functional>

using namespace cardamomdeck;

TestSuite(fleet_reach);

namespace {

constexpr time_point startTime{seconds(1000)};
constexpr std::size_t fleetSize = 137;

/** Samples a fleet of which @p responds for @p span; returns the end of it. */
time_point sampleFleet(fleet_reach &reach,
                       time_point from,
                       milliseconds span,
                       random_source &random,
                       const std::function<bool(std::size_t)> &responds)
{
    std::vector<std::string> peers;
    for (std::size_t number = 1; number < fleetSize; ++number) {
        peers.push_back(std::to_string(number));
    }
    time_point now = from;
    for (; now < from + span; now += milliseconds(50)) {
        if (const auto sample = reach.nextSample(peers, now, random)) {
            for (const std::string &entry : sample->entries) {
                if (responds(std::stoul(entry))) {
                    reach.recordResponse(entry, sample->number);
                }
            }
        }
    }
    return now;
}

}

Test(fleet_reach, whole_fleet_issues_the_limits_even_without_the_store)
{
    random_source random(1);
    fleet_reach reach;
    const time_point now = sampleFleet(reach, startTime, milliseconds(2000), random, [](std::size_t) { return true; });
    cr_assert_eq(reach.issuedShare({fleetSize, fleetSize}, false, now), 1.0);
}

// Heartbeats show it only after 3 to 8 s, in which both parts would issue the limits.
Test(fleet_reach, minor_part_notices_within_half_a_second_that_it_is_cut_off)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random(seed);
        fleet_reach reach;
        time_point now = sampleFleet(reach, startTime, milliseconds(1000), random, [](std::size_t) { return true; });
        now = sampleFleet(reach, now, milliseconds(500), random, [](std::size_t number) { return number % 3 == 0; });
        cr_assert_leq(reach.issuedShare({fleetSize, fleetSize}, true, now), fleet_reach::minorPartShare);
    }
}

Test(fleet_reach, major_part_issues_the_limits_while_it_is_in_contact_with_the_store)
{
    fleet_reach reach;
    cr_assert_eq(reach.issuedShare({100, fleetSize}, true, startTime), 1.0);
    cr_assert_float_eq(reach.issuedShare({100, fleetSize}, false, startTime), 100.0 / fleetSize, 1e-9);
}

// Entries that died are known for a minute. The rest of a fleet that lost most of its entries must not wait for that.
Test(fleet_reach, minor_part_in_contact_with_the_store_issues_its_share_after_a_time)
{
    fleet_reach reach;
    cr_assert_leq(reach.issuedShare({46, fleetSize}, true, startTime), fleet_reach::minorPartShare);
    const time_point later = startTime + fleet_reach::minorPartTime;
    cr_assert_float_eq(reach.issuedShare({46, fleetSize}, true, later), 46.0 / fleetSize, 1e-9);
    cr_assert_leq(reach.issuedShare({46, fleetSize}, false, later), fleet_reach::minorPartShare);
}

Test(fleet_reach, late_and_unknown_responses_are_ignored)
{
    random_source random(2);
    fleet_reach reach;
    reach.recordResponse("1", 77);
    const time_point now = sampleFleet(reach, startTime, milliseconds(2000), random, [](std::size_t) { return false; });
    reach.recordResponse("1", 1);
    cr_assert_lt(reach.reachableShare({fleetSize, fleetSize}, now), 0.1);
}
