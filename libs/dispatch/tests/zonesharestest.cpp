#include "cardamomdeck/dispatch/zoneshares.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point startTime = time_point() + std::chrono::hours(1);

zone_capacity capacity(double slots, double utilization)
{
    return {slots, zone_load{utilization, 1.0, startTime}};
}

overflow_inputs inputsWith(double homeUtilization, double otherUtilization)
{
    return {capacity(60, homeUtilization), {{"b", capacity(60, otherUtilization)}}, {}, 1.0};
}

/** Updates @p shares for @p duration. */
time_point
updateFor(zone_share_controller &shares, const overflow_inputs &inputs, time_point from, milliseconds duration)
{
    time_point now = from;
    for (; now < from + duration; now += zone_share_controller::updatePeriod) {
        shares.update(inputs, now);
    }
    return now;
}

}

TestSuite(share_of_a_zone);

Test(share_of_a_zone, is_zero_while_the_zone_has_free_slots)
{
    zone_share_controller shares;
    updateFor(shares, inputsWith(0.9, 0.1), startTime, milliseconds(5000));
    cr_assert_eq(shares.share(), 0.0);
}

// Guards against all entries of a zone leaving it at once.
Test(share_of_a_zone, rises_in_bounded_steps)
{
    zone_share_controller shares;
    shares.update(inputsWith(1.2, 0.1), startTime);
    cr_assert_gt(shares.share(), 0.0);
    cr_assert_leq(shares.share(), 0.0501);
    shares.update(inputsWith(1.2, 0.1), startTime + milliseconds(1));
    cr_assert_leq(shares.share(), 0.0501);
}

Test(share_of_a_zone, reaches_what_is_missing)
{
    zone_share_controller shares;
    overflow_inputs inputs = inputsWith(1.2, 0.1);
    inputs.others["c"] = capacity(60, 0.1);
    updateFor(shares, inputs, startTime, milliseconds(5000));
    cr_assert_float_eq(shares.share(), 1.0 - 0.9 / 1.2, 0.01);
}

Test(share_of_a_zone, is_kept_for_a_while_and_then_falls_to_zero)
{
    zone_share_controller shares;
    time_point now = updateFor(shares, inputsWith(1.2, 0.1), startTime, milliseconds(5000));
    now = updateFor(shares, inputsWith(0.6, 0.1), now, milliseconds(6000));
    cr_assert_gt(shares.share(), 0.2);
    updateFor(shares, inputsWith(0.6, 0.1), now, milliseconds(25'000));
    cr_assert_eq(shares.share(), 0.0);
}

TestSuite(helping_zone);

// Guards against two full zones that exchange their overload.
Test(helping_zone, is_not_used_while_it_is_busy_itself)
{
    zone_share_controller shares;
    updateFor(shares, inputsWith(1.2, 0.9), startTime, milliseconds(5000));
    cr_assert_eq(shares.share(), 0.0);
    cr_assert_not(zone_share_controller::hasRoom(capacity(60, 0.9)));
}

// Guards against a helping zone that ends up worse off than the zone that it helps.
Test(helping_zone, is_relieved_when_it_becomes_busy)
{
    zone_share_controller shares;
    const time_point now = updateFor(shares, inputsWith(1.2, 0.1), startTime, milliseconds(5000));
    cr_assert_gt(shares.share(), 0.2);
    overflow_inputs busy = inputsWith(1.2, 1.1);
    busy.leftShares = {{"b", 0.05}};
    busy.keptShare = 0.95;
    updateFor(shares, busy, now, milliseconds(2000));
    cr_assert_eq(shares.share(), 0.0);
}

Test(helping_zone, with_more_room_gets_more)
{
    zone_share_controller shares;
    overflow_inputs inputs = inputsWith(1.2, 0.1);
    inputs.others["c"] = capacity(20, 0.1);
    updateFor(shares, inputs, startTime, milliseconds(5000));
    cr_assert_gt(shares.sharesByZone().at("b"), 2 * shares.sharesByZone().at("c"));
    cr_assert_gt(shares.sharesByZone().at("c"), 0.0);
}

// Guards against an entry out of contact that never learns whether another zone could help.
Test(helping_zone, of_unknown_load_gets_a_few_requests)
{
    zone_share_controller shares;
    overflow_inputs inputs = inputsWith(1.2, 0.1);
    inputs.others["b"].load.reset();
    updateFor(shares, inputs, startTime, milliseconds(5000));
    cr_assert_float_eq(shares.share(), 0.05, 0.001);
}

TestSuite(zone_without_usable_servers);

// Guards against requests that are rejected because the servers of their zone are all lost or evacuated.
Test(zone_without_usable_servers, leaves_with_everything_at_once)
{
    zone_share_controller shares;
    overflow_inputs inputs = inputsWith(0.5, 0.95);
    inputs.home = {};
    shares.update(inputs, startTime);
    cr_assert_eq(shares.share(), 1.0);
    random_source random(1);
    cr_assert_eq(shares.chooseZone(random), "b");
    shares.update(inputsWith(0.5, 0.95), startTime + milliseconds(200));
    cr_assert_eq(shares.share(), 0.0);
}
