#include "cardamomdeck/fleet/fleetsizeestimate.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

// An entry that is cut off sees the others expire. If its share of a fleet-wide limit grew with that, the sum of the
// shares would exceed the limit.

TestSuite(fleet_size);

namespace {

const time_point startTime{seconds(1000)};

}

Test(fleet_size, one_entry_is_the_least)
{
    cr_assert_eq(fleet_size_estimate().entries(startTime), 1);
}

Test(fleet_size, entry_that_is_cut_off_remembers_the_others)
{
    fleet_size_estimate estimate;
    estimate.record(137, startTime);
    for (int second = 1; second <= 50; ++second) {
        const time_point now = startTime + seconds(second);
        estimate.record(1, now);
        cr_assert_eq(estimate.entries(now), 137, "after %d s", second);
    }
}

Test(fleet_size, smaller_fleet_is_believed_after_the_retention_time)
{
    fleet_size_estimate estimate;
    estimate.record(137, startTime);
    time_point now = startTime;
    for (; now <= startTime + 2 * fleet_size_estimate::retentionTime; now += milliseconds(400)) {
        estimate.record(14, now);
    }
    cr_assert_eq(estimate.entries(now), 14);
}

Test(fleet_size, larger_fleet_is_believed_at_once)
{
    fleet_size_estimate estimate;
    estimate.record(14, startTime);
    estimate.record(137, startTime + milliseconds(1));
    cr_assert_eq(estimate.entries(startTime + milliseconds(1)), 137);
}
