#include "cardamomdeck/dispatch/zoneload.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point startTime = time_point() + std::chrono::hours(1);

}

TestSuite(loads_of_zones);

Test(loads_of_zones, are_unknown_without_observations)
{
    cr_assert_not(zone_load_table().load("a", startTime));
}

Test(loads_of_zones, follow_the_probes)
{
    zone_load_table loads;
    loads.recordProbe("a", {2, 0, 4, 1.0}, startTime);
    loads.recordProbe("a", {4, 2, 4, 3.0}, startTime);
    const zone_load load = loads.load("a", startTime).value();
    cr_assert_float_eq(load.utilization, 1.0, 1e-9);
    cr_assert_float_eq(load.slowdown, 2.0, 1e-9);
}

// Guards against a share that follows a load of long ago.
Test(loads_of_zones, do_not_count_after_three_seconds)
{
    zone_load_table loads;
    loads.recordProbe("a", {2, 0, 4, 1.0}, startTime);
    loads.recordReport("b", "", 0.5, startTime, startTime);
    cr_assert(loads.load("a", startTime + milliseconds(3000)));
    cr_assert(loads.load("b", startTime + milliseconds(3000)));
    cr_assert_not(loads.load("a", startTime + milliseconds(3001)));
    cr_assert_not(loads.load("b", startTime + milliseconds(3001)));
    cr_assert_not(loads.relayedLoad("b", startTime + milliseconds(3001)));
}

// Guards against a report that is relayed late, or twice, and replaces a newer one.
Test(loads_of_zones, keep_the_newest_report)
{
    zone_load_table loads;
    loads.recordReport("b", "", 0.5, startTime, startTime);
    loads.recordReport("b", "", 0.9, startTime - milliseconds(10), startTime);
    cr_assert_float_eq(loads.load("b", startTime)->utilization, 0.5, 1e-9);
}

// Guards against entries with few requests of their own, whose probes alone say little.
Test(loads_of_zones, average_the_reports_of_all_entries)
{
    zone_load_table loads;
    loads.recordProbe("a", {4, 0, 4, 1.0}, startTime);
    for (const char *peer : {"e1", "e2", "e3"}) {
        loads.recordReport("a", peer, 0.6, startTime, startTime);
    }
    const double utilization = loads.load("a", startTime)->utilization;
    cr_assert_gt(utilization, 0.6);
    cr_assert_lt(utilization, 0.63);
}
