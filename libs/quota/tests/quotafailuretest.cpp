#include "quotareplay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace cardamomdeck;
using namespace cardamomdeck::replay;

// Each test injects one failure into a fleet of 137 entries, once under the usual load and once while the largest
// workspace sends twice its limit. The limits must hold in every window. The 30 largest of the 85 workspaces send.

TestSuite(quota_failures);

namespace {

using entries = std::vector<std::size_t>;
using failure_injection = std::function<void(quota_fleet &, const entries &issuers)>;

/** What callers may notice of a failure under the usual load. */
struct expectation
{
    /** Requests of the largest workspace that are refused within the first second; it sends 250. */
    std::size_t refusedAtOnce = 60;
    /** Share of the requests of all workspaces that is refused from the second second on. */
    double refusedLater = 0.02;
    /** Share of its limit that the largest workspace uses while it sends more. */
    double minUsed = 0.9;
    /** Maximum number of entries that issue the tokens of the largest workspace in the end. */
    std::size_t issuers = 1;
    /** Time until then; the views of a part that is cut off differ for up to 8 s. */
    milliseconds settlingTime{0};
};

constexpr const char *workspace = "w1";
constexpr milliseconds observed{7000};

void checkFailure(const expectation &expected, const failure_injection &inject, fleet_options options = {})
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        for (const double factor : {1.0, 3.0}) {
            options.seed = seed;
            quota_fleet fleet(options);
            fleet.addUsualLoad(30);
            fleet.run(seconds(2));
            fleet.setLoadFactor(workspace, factor);
            fleet.run(seconds(1));
            const time_point failureAt = fleet.now();
            inject(fleet, fleet.issuersOf(workspace));
            fleet.run(observed);
            const double excess = fleet.largestExcess();
            cr_assert_leq(excess, 0, "seed %lu, load %f: %f requests beyond the limit", seed, factor, excess);
            const time_point observedUntil = fleet.now();
            fleet.run(expected.settlingTime);
            const std::size_t issuers = fleet.issuerCount(workspace);
            cr_assert_leq(issuers, expected.issuers, "seed %lu: %zu issuers", seed, issuers);
            cr_assert_geq(issuers, 1);
            if (factor > 1.0) {
                const double limit = fleet.limits().at(workspace).requestsPerSecond * 7;
                const double used
                    = static_cast<double>(fleet.admittedBetween(workspace, failureAt, failureAt + observed)) / limit;
                cr_assert_geq(used, expected.minUsed, "seed %lu: %f of the limit used", seed, used);
                continue;
            }
            const std::size_t refused = fleet.refusedBetween(workspace, failureAt, failureAt + seconds(1));
            cr_assert_leq(refused, expected.refusedAtOnce, "seed %lu: %zu refused", seed, refused);
            const double share = fleet.refusedShare(failureAt + seconds(1), observedUntil);
            cr_assert_leq(share, expected.refusedLater, "seed %lu: %f refused", seed, share);
        }
    }
}

/** Every third entry; these are in one zone. */
entries zone(std::size_t first)
{
    entries numbers;
    for (std::size_t number = first; number < 137; number += 3) {
        numbers.push_back(number);
    }
    return numbers;
}

/** Seven entries. */
entries someEntries()
{
    entries numbers;
    for (std::size_t number = 0; number < 137; number += 20) {
        numbers.push_back(number);
    }
    return numbers;
}

/** Every second entry that is not in @p except. */
entries halfWithout(const entries &except)
{
    entries numbers;
    for (std::size_t number = 0; number < 137; number += 2) {
        if (std::ranges::find(except, number) == except.end()) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

}

Test(quota_failures, issuer_that_is_killed_is_replaced_by_the_next_one)
{
    checkFailure({}, [](quota_fleet &fleet, const entries &issuers) { fleet.kill(issuers[0]); });
}

Test(quota_failures, issuer_and_deputy_that_are_killed_are_replaced)
{
    checkFailure({.refusedAtOnce = 130}, [](quota_fleet &fleet, const entries &issuers) {
        fleet.kill(issuers[0]);
        fleet.kill(issuers[1]);
    });
}

// A restarted issuer does not know what it granted before.
Test(quota_failures, issuer_that_is_restarted_is_the_issuer_again)
{
    checkFailure({.refusedAtOnce = 80}, [](quota_fleet &fleet, const entries &issuers) {
        fleet.kill(issuers[0]);
        fleet.run(milliseconds(50));
        fleet.start(issuers[0]);
    });
}

// A paused issuer does not know that another one has issued tokens meanwhile; nor does one that waits for its
// processor.
Test(quota_failures, issuer_that_was_paused_grants_nothing_for_the_pause)
{
    for (const milliseconds pause : {milliseconds(300), milliseconds(450), milliseconds(4000)}) {
        checkFailure({}, [pause](quota_fleet &fleet, const entries &issuers) { fleet.pause(issuers[0], pause); });
    }
}

Test(quota_failures, issuer_and_deputy_that_do_not_reach_each_other_are_not_both_issuers)
{
    checkFailure({}, [](quota_fleet &fleet, const entries &issuers) { fleet.cutLink(issuers[0], issuers[1]); });
}

// Half of the fleet reaches only the deputy. Its own query has no response, but others report that the issuer responds.
// Those that do not reach the issuer spend only their parts of the limit.
Test(quota_failures, issuer_that_the_deputy_and_half_of_the_fleet_do_not_reach_is_the_only_issuer)
{
    checkFailure({.refusedAtOnce = 150, .refusedLater = 0.3, .minUsed = 0.5},
                 [](quota_fleet &fleet, const entries &issuers) {
                     fleet.cutLink(issuers[0], issuers[1]);
                     for (const std::size_t number : halfWithout(issuers)) {
                         fleet.cutLink(issuers[0], number);
                     }
                 });
}

// Heartbeats may be lost for longer than other messages: the deputy takes the issuer for dead.
Test(quota_failures, issuer_that_the_deputy_and_half_of_the_fleet_do_not_know_is_the_only_issuer)
{
    checkFailure({.refusedAtOnce = 100}, [](quota_fleet &fleet, const entries &issuers) {
        entries viewers = halfWithout(issuers);
        viewers.push_back(issuers[1]);
        fleet.hide(issuers[0], viewers);
    });
}

// The remainder of a fleet that is cut off does not notice by heartbeats for several seconds.
Test(quota_failures, several_entries_that_are_cut_off_issue_only_their_share)
{
    checkFailure({.refusedLater = 0.08, .issuers = 2, .settlingTime = seconds(4)},
                 [](quota_fleet &fleet, const entries &) { fleet.split(someEntries()); });
    checkFailure({.refusedLater = 0.1, .issuers = 2, .settlingTime = seconds(4)},
                 [](quota_fleet &fleet, const entries &issuers) {
                     entries cutOff = someEntries();
                     if (std::ranges::find(cutOff, issuers[0]) == cutOff.end()) {
                         cutOff.push_back(issuers[0]);
                     }
                     fleet.split(cutOff);
                 });
}

Test(quota_failures, zone_that_is_cut_off_issues_a_tenth_of_the_limits)
{
    for (std::size_t first = 0; first < 3; ++first) {
        // Of the requests that a third of the entries gets, some are within a tenth of the limits.
        checkFailure({.refusedAtOnce = 110, .refusedLater = 0.33, .issuers = 2, .settlingTime = seconds(4)},
                     [first](quota_fleet &fleet, const entries &) { fleet.split(zone(first)); });
    }
}

Test(quota_failures, parts_that_reach_each_other_again_have_one_issuer)
{
    checkFailure({.refusedAtOnce = 110, .refusedLater = 0.2}, [](quota_fleet &fleet, const entries &) {
        fleet.split(zone(1));
        fleet.run(seconds(3));
        fleet.heal();
    });
}

Test(quota_failures, zone_that_is_killed_does_not_reduce_the_limits)
{
    checkFailure({.refusedLater = 0.05}, [](quota_fleet &fleet, const entries &) {
        for (const std::size_t number : zone(2)) {
            fleet.kill(number);
        }
    });
}

Test(quota_failures, store_that_is_out_of_contact_does_not_reduce_the_limits)
{
    checkFailure({.refusedAtOnce = 0, .refusedLater = 0.005},
                 [](quota_fleet &fleet, const entries &) { fleet.setStoreAvailable(false); });
}

// Entries that have just started know few others, and would take themselves for issuers or their parts for large.
Test(quota_failures, fleet_that_is_restarted_as_a_whole_serves_at_once)
{
    checkFailure({.refusedLater = 0.005}, [](quota_fleet &fleet, const entries &) {
        for (std::size_t number = 0; number < 137; ++number) {
            fleet.kill(number);
        }
        fleet.run(milliseconds(100));
        for (std::size_t number = 0; number < 137; ++number) {
            fleet.start(number);
        }
    });
}

Test(quota_failures, messages_that_are_lost_doubled_or_late_do_not_multiply_tokens)
{
    checkFailure({.refusedAtOnce = 10, .refusedLater = 0.02},
                 [](quota_fleet &, const entries &) {},
                 {.lossRate = 0.05, .duplicationRate = 0.1, .lateRate = 0.02});
}

// An entry asks ahead for the tokens that it expects to need. The issuer has granted others for the time of the pause.
Test(quota_failures, entry_that_wakes_does_not_use_the_tokens_that_it_held)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const milliseconds pause : {milliseconds(600), milliseconds(3000)}) {
            quota_fleet fleet({.seed = seed});
            fleet.setLimits({{"w", limitFor(300)}});
            fleet.addLoad({"w", 300, {{5, 1.0}}});
            fleet.run(seconds(3));
            // It wakes without contact to the issuer, and may use its part of the limit: 3.5 requests per second.
            fleet.pause(5, pause);
            fleet.split({5});
            const time_point wakesAt = fleet.now() + pause;
            fleet.run(pause + milliseconds(300));
            const std::size_t admitted = fleet.admittedBetween("w", wakesAt, fleet.now());
            cr_assert_leq(admitted, 3, "seed %lu: %zu admitted", seed, admitted);
        }
    }
}

Test(quota_failures, limit_that_is_lowered_far_below_the_demand_binds_after_one_window)
{
    constexpr milliseconds applyTime{2500};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        quota_fleet fleet({.seed = seed});
        fleet.addUsualLoad(30);
        fleet.run(seconds(3));
        quota_limit_table lowered = fleet.limits();
        lowered[workspace] = {10, 10};
        fleet.setLimits(lowered, milliseconds(1500));
        const time_point acknowledgedAt = fleet.now();
        fleet.run(seconds(12));
        const double excess = fleet.excessOf(workspace, acknowledgedAt + applyTime + window);
        cr_assert_leq(excess, 0, "seed %lu: %f requests beyond the limit", seed, excess);
        const std::size_t used
            = fleet.admittedBetween(workspace, acknowledgedAt + applyTime, acknowledgedAt + seconds(12));
        cr_assert_geq(used, 85, "seed %lu: %zu of 95 admitted", seed, used);
        // The first window as a whole is not bound yet, but what was granted before does not outlast its lifetime.
        cr_assert_leq(fleet.admittedBetween(workspace, acknowledgedAt + applyTime, acknowledgedAt + applyTime + window),
                      90);
        // Raised again, it is used at once.
        fleet.setLimits([&] {
            quota_limit_table raised = lowered;
            raised[workspace] = limitFor(250);
            return raised;
        }());
        const time_point raisedAt = fleet.now();
        fleet.run(seconds(3));
        cr_assert_leq(fleet.refusedBetween(workspace, raisedAt + seconds(1), fleet.now()), 5);
        // Removed, nothing is refused.
        fleet.setLoadFactor(workspace, 7.5);
        quota_limit_table removed = lowered;
        removed.erase(workspace);
        fleet.setLimits(removed);
        const time_point removedAt = fleet.now();
        fleet.run(seconds(2));
        cr_assert_eq(fleet.refusedBetween(workspace, removedAt + milliseconds(60), fleet.now()), 0);
    }
}

Test(quota_failures, workspace_that_is_added_is_served_at_once)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        quota_fleet fleet({.seed = seed});
        fleet.addUsualLoad(30);
        fleet.run(seconds(2));
        quota_limit_table limits = fleet.limits();
        limits["new"] = limitFor(20);
        // Its callers come while some entries have not installed the version yet.
        fleet.setLimits(limits, milliseconds(1000));
        fleet.run(milliseconds(1000));
        fleet.addLoad({"new", 20, {{3, 0.5}, {8, 0.5}}});
        const time_point since = fleet.now();
        fleet.run(seconds(3));
        cr_assert_leq(fleet.refusedBetween("new", since, fleet.now()),
                      5,
                      "seed %lu: %zu refused",
                      seed,
                      fleet.refusedBetween("new", since, fleet.now()));
        limits.erase("new");
        fleet.setLimits(limits);
        fleet.run(seconds(1));
        cr_assert_eq(fleet.issuerCount("new"), 0);
    }
}
