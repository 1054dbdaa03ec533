#include "cardamomdeck/dispatch/backendhealth.h"
#include "cardamomdeck/dispatch/probeallowance.h"
#include "cardamomdeck/dispatch/repeatbudget.h"
#include "cardamomdeck/dispatch/trafficsplit.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <vector>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};

}

TestSuite(repeats_of_the_fleet);

Test(repeats_of_the_fleet, stay_within_the_ratio_and_the_reserve_in_every_window)
{
    constexpr std::size_t entries = 15;
    constexpr double requestsPerEntry = 100;
    const repeat_limits limits;
    double repeats = 0;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        repeat_budget budget(limits);
        for (int i = 0; i < requestsPerEntry; ++i) {
            const time_point now = start + milliseconds(100 * i);
            budget.noteRequest(now);
            repeats += budget.take(now, entries) ? 1 : 0;
            repeats += budget.take(now, entries) ? 1 : 0;
        }
    }
    cr_assert_gt(repeats, 0);
    cr_assert_leq(repeats, limits.ratio * entries * requestsPerEntry + limits.reserve);
}

Test(repeats_of_the_fleet, come_back_when_the_window_has_passed)
{
    repeat_budget budget({milliseconds(10'000), 0.0, 2.5});
    cr_assert(budget.take(start, 1));
    cr_assert(budget.take(start, 1));
    cr_assert_not(budget.take(start + milliseconds(9999), 1));
    cr_assert(budget.take(start + milliseconds(10'001), 1));
}

TestSuite(probes_of_the_fleet);

Test(probes_of_the_fleet, stay_below_what_servers_accept_while_load_is_high)
{
    constexpr double perBackend = 60;
    constexpr std::size_t backends = 15;
    constexpr std::size_t entries = 15;
    constexpr int seconds = 30;
    double probes = 0;
    probe_allowance allowance(perBackend);
    for (int i = 0; i < seconds * 100; ++i) {
        probes += static_cast<double>(allowance.take(5, backends, entries, start + milliseconds(10 * i)));
    }
    cr_assert_leq(probes * entries, perBackend * backends * (seconds + 2));
    cr_assert_geq(probes * entries, 0.7 * perBackend * backends * seconds);
}

Test(probes_of_the_fleet, a_quiet_entry_probes_as_many_as_it_wants)
{
    probe_allowance allowance(60);
    for (int i = 0; i < 20; ++i) {
        cr_assert_eq(allowance.take(5, 15, 15, start + milliseconds(200 * i)), 5);
    }
}

TestSuite(shares_of_a_rule);

Test(shares_of_a_rule, follow_the_weights_over_any_run_of_requests)
{
    random_source random(7);
    traffic_split split({{"old", 90}, {"new", 10}}, random);
    std::map<std::string, int> counts;
    for (int i = 1; i <= 300; ++i) {
        ++counts[split.next()];
        cr_assert_lt(std::abs(counts["new"] - 0.1 * i), 1.6);
    }
}

TestSuite(servers_that_fail);

Test(servers_that_fail, become_suspect_after_a_few_failures_and_are_tried_again_later)
{
    backend_health health;
    health.noteFailure(start);
    health.noteFailure(start);
    cr_assert(health.isSuspect(start));
    cr_assert_not(health.isSuspect(start + seconds(12)));
}

Test(servers_that_fail, one_failure_among_many_answers_does_not_matter)
{
    backend_health health;
    for (int i = 0; i < 20; ++i) {
        health.noteSuccess(start);
    }
    health.noteFailure(start);
    cr_assert_not(health.isSuspect(start));
}
