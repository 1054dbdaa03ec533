#include "cardamomdeck/dispatch/backendhealth.h"
#include "cardamomdeck/dispatch/proberatelimiter.h"
#include "cardamomdeck/dispatch/retrybudget.h"
#include "cardamomdeck/dispatch/trafficsplit.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <vector>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};

}

TestSuite(retry_budget);

Test(retry_budget, stays_within_ratio_and_reserve)
{
    constexpr std::size_t entries = 15;
    constexpr double requestsPerEntry = 100;
    const retry_limits limits;
    double retries = 0;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        retry_budget budget(limits);
        for (int i = 0; i < requestsPerEntry; ++i) {
            const time_point now = start + milliseconds(100 * i);
            budget.recordRequest(now);
            retries += budget.tryAcquire(now, entries) ? 1 : 0;
            retries += budget.tryAcquire(now, entries) ? 1 : 0;
        }
    }
    cr_assert_gt(retries, 0);
    cr_assert_leq(retries, limits.ratio * entries * requestsPerEntry + limits.reserve);
}

Test(retry_budget, is_available_again_after_window)
{
    retry_budget budget({milliseconds(10'000), 0.0, 2.5});
    cr_assert(budget.tryAcquire(start, 1));
    cr_assert(budget.tryAcquire(start, 1));
    cr_assert_not(budget.tryAcquire(start + milliseconds(9999), 1));
    cr_assert(budget.tryAcquire(start + milliseconds(10'001), 1));
}

TestSuite(probe_rate_limiter);

Test(probe_rate_limiter, stays_within_rate_under_high_load)
{
    constexpr double probesPerSecondPerBackend = 60;
    constexpr std::size_t backends = 15;
    constexpr std::size_t entries = 15;
    constexpr int durationSeconds = 30;
    double probes = 0;
    probe_rate_limiter limiter(probesPerSecondPerBackend);
    for (int i = 0; i < durationSeconds * 100; ++i) {
        probes += static_cast<double>(limiter.acquireUpTo(5, backends, entries, start + milliseconds(10 * i)));
    }
    cr_assert_leq(probes * entries, probesPerSecondPerBackend * backends * (durationSeconds + 2));
    cr_assert_geq(probes * entries, 0.7 * probesPerSecondPerBackend * backends * durationSeconds);
}

Test(probe_rate_limiter, does_not_limit_entry_at_low_rate)
{
    probe_rate_limiter limiter(60);
    for (int i = 0; i < 20; ++i) {
        cr_assert_eq(limiter.acquireUpTo(5, 15, 15, start + milliseconds(200 * i)), 5);
    }
}

TestSuite(traffic_split);

Test(traffic_split, follows_weights_over_any_run_of_requests)
{
    random_source random(7);
    traffic_split split({{"old", 90}, {"new", 10}}, random);
    std::map<std::string, int> counts;
    for (int i = 1; i <= 300; ++i) {
        ++counts[split.next()];
        cr_assert_lt(std::abs(counts["new"] - 0.1 * i), 1.6);
    }
}

TestSuite(backend_health);

Test(backend_health, is_suspect_after_failures_until_they_decay)
{
    backend_health health;
    health.recordFailure(start);
    health.recordFailure(start);
    cr_assert(health.isSuspect(start));
    cr_assert_not(health.isSuspect(start + seconds(12)));
}

Test(backend_health, is_not_suspect_after_single_failure)
{
    backend_health health;
    for (int i = 0; i < 20; ++i) {
        health.recordSuccess(start);
    }
    health.recordFailure(start);
    cr_assert_not(health.isSuspect(start));
}
