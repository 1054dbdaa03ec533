#include "cardamomdeck/routing/probebudget.h"

#include "cardamomdeck/base/randomsource.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};
constexpr seconds window{10};

/** Returns the maximum number of probes in any half-open window. */
std::size_t maxProbesInWindow(std::vector<time_point> probes)
{
    std::ranges::sort(probes);
    std::size_t maxCount = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < probes.size(); ++last) {
        while (probes[last] - probes[first] >= window) {
            ++first;
        }
        maxCount = std::max(maxCount, last - first + 1);
    }
    return maxCount;
}

}

Test(probe_budget, allows_no_probe_before_share_is_granted)
{
    probe_budget budget;
    cr_assert(not budget.tryAcquire(start));
    budget.grantShare(160, 16, start + seconds(3));
    cr_assert(not budget.tryAcquire(start + seconds(2)));
    cr_assert(budget.tryAcquire(start + seconds(3)));
    budget.revoke();
    cr_assert(not budget.tryAcquire(start + seconds(30)));
}

Test(probe_budget, does_not_accumulate_during_pause)
{
    probe_budget budget;
    budget.grantShare(160, 16, start);
    cr_assert(budget.tryAcquire(start));
    const time_point afterPause = start + seconds(600);
    cr_assert(budget.tryAcquire(afterPause));
    cr_assert(not budget.tryAcquire(afterPause + milliseconds(1)));
}

Test(probe_budget, budget_below_entry_count_is_not_rounded_up)
{
    probe_budget budget;
    budget.grantShare(15, 16, start);
    cr_assert(not budget.tryAcquire(start + seconds(100)));
}

Test(probe_budget, the_sum_over_all_entries_stays_within_the_budget_in_every_window)
{
    constexpr std::uint32_t probesPerTenSeconds = 160;
    constexpr std::uint32_t ceiling = 16;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        random_source random(seed);
        std::vector<probe_budget> entries(ceiling);
        for (probe_budget &entry : entries) {
            entry.grantShare(probesPerTenSeconds, ceiling, start);
        }
        std::vector<time_point> probes;
        for (time_point now = start; now < start + seconds(60); now += milliseconds(1 + randomIndex(random, 20))) {
            const std::size_t index = randomIndex(random, entries.size());
            if (randomIndex(random, 500) == 0) {
                // A configuration change grants the share again.
                entries[index].grantShare(probesPerTenSeconds, ceiling, now);
            }
            for (probe_budget &entry : entries) {
                if (entry.tryAcquire(now)) {
                    probes.push_back(now);
                }
            }
        }
        cr_assert(maxProbesInWindow(probes) <= probesPerTenSeconds, "seed %u: %zu", seed, maxProbesInWindow(probes));
        cr_assert(maxProbesInWindow(probes) > probesPerTenSeconds / 2);
    }
}
