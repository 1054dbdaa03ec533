#include "cardamomdeck/dispatch/overflowrules.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point startTime = time_point() + std::chrono::hours(1);
const crossing_cost cost{3.0, 400.0};

}

TestSuite(rules_that_leave_a_zone);

// Guards against traffic between zones that a lighter rule would not cause.
Test(rules_that_leave_a_zone, are_light_ones_first)
{
    const std::map<std::string, rule_traffic> traffic{{"light", {100, 50, 1500, 1}}, {"large", {300, 50, 90'000, 1}}};
    auto shares = sharesByRule(traffic, 0.2, cost);
    cr_assert_float_eq(shares["light"], 0.8, 1e-9);
    cr_assert_eq(shares["large"], 0.0);
    shares = sharesByRule(traffic, 0.4, cost);
    cr_assert_eq(shares["light"], 1.0);
    cr_assert_float_eq(shares["large"], 0.2, 1e-9);
}

Test(rules_that_leave_a_zone, are_urgent_ones_first)
{
    const std::map<std::string, rule_traffic> traffic{{"late", {100, 50, 1500, 2}}, {"urgent", {100, 50, 1500, 0}}};
    auto shares = sharesByRule(traffic, 0.3, cost);
    cr_assert_float_eq(shares["urgent"], 0.6, 1e-9);
    cr_assert_eq(shares["late"], 0.0);
}

// Guards against short requests that cross for little: a long one frees more slot time for the same bytes.
Test(rules_that_leave_a_zone, are_those_that_free_most_slot_time)
{
    const std::map<std::string, rule_traffic> traffic{{"long", {100, 500, 1500, 1}}, {"short", {100, 5, 1500, 1}}};
    auto shares = sharesByRule(traffic, 0.5, cost);
    cr_assert_eq(shares["long"], 1.0);
    cr_assert_eq(shares["short"], 0.0);
}

Test(rules_that_leave_a_zone, all_leave_with_a_share_of_one)
{
    const std::map<std::string, rule_traffic> traffic{{"light", {100, 50, 1500, 1}}, {"large", {300, 50, 90'000, 1}}};
    for (const auto &[rule, share] : sharesByRule(traffic, 1.0, cost)) {
        cr_assert_float_eq(share, 1.0, 1e-9);
    }
}

TestSuite(traffic_of_rules);

Test(traffic_of_rules, is_measured_and_forgotten)
{
    rule_traffic_meter meter;
    for (int i = 0; i < 3000; ++i) {
        meter.recordRequest("lookup", 20, 1, startTime + milliseconds(10 * i));
        meter.recordBytes("lookup", 1500);
    }
    const time_point now = startTime + seconds(30);
    const rule_traffic traffic = meter.traffic(now).at("lookup");
    cr_assert_float_eq(traffic.slotMsPerSecond, 2000, 100);
    cr_assert_float_eq(traffic.bytes, 1500, 1e-6);
    cr_assert(meter.traffic(now + seconds(31)).empty());
    cr_assert_eq(meter.bytesOf("lookup"), 0.0);
}
