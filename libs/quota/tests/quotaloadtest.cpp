#include "quotareplay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>

using namespace cardamomdeck;
using namespace cardamomdeck::replay;

// The load of 85 workspaces, most of which reach the fleet through one or two of its entries. Equal shares of the
// limits would refuse nearly all requests of these.

TestSuite(quota_load);

namespace {

/** Time in which the issuers of a new replay begin. */
constexpr milliseconds warmUp{2000};

double secondsOf(milliseconds span)
{
    return std::chrono::duration<double>(span).count();
}

}

Test(quota_load, usual_load_is_hardly_refused)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        quota_fleet fleet({.seed = seed});
        fleet.addUsualLoad();
        fleet.run(warmUp + seconds(8));
        const time_point since = startTime + warmUp;
        cr_assert_lt(fleet.refusedShare(since), 1.0 / 200, "seed %lu: %f", seed, fleet.refusedShare(since));
        cr_assert_leq(fleet.largestExcess(), 0);
        for (const char *workspace : {"w1", "w20", "w85"}) {
            const auto refused = static_cast<double>(fleet.refusedBetween(workspace, since, fleet.now()));
            const auto admitted = static_cast<double>(fleet.admittedBetween(workspace, since, fleet.now()));
            cr_assert_leq(refused, 1.0 + admitted / 50, "seed %lu: %s refused %f", seed, workspace, refused);
        }
    }
}

Test(quota_load, larger_fleet_with_the_same_load_sends_no_more_messages)
{
    const auto bytesPerSecond = [](std::size_t entries) {
        quota_fleet fleet({.entries = entries, .seed = 4});
        fleet.addUsualLoad();
        fleet.run(seconds(5));
        cr_assert_lt(fleet.refusedShare(startTime + warmUp), 1.0 / 200);
        cr_assert_leq(fleet.largestExcess(), 0);
        return static_cast<double>(fleet.messageBytes()) / 5;
    };
    const double usual = bytesPerSecond(137);
    const double large = bytesPerSecond(300);
    cr_assert_lt(usual, 150'000, "%f bytes per second", usual);
    cr_assert_lt(large, 1.1 * usual, "%f and %f bytes per second", usual, large);
}

Test(quota_load, workspace_far_beyond_its_limit_gets_its_limit_and_no_more)
{
    constexpr double peak = 7.5;
    constexpr milliseconds peakTime{6000};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        for (const char *workspace : {"w1", "w10", "w80"}) {
            quota_fleet fleet({.seed = seed});
            fleet.addUsualLoad();
            fleet.run(warmUp);
            fleet.setLoadFactor(workspace, peak);
            const time_point peakAt = fleet.now();
            fleet.run(peakTime);
            fleet.setLoadFactor(workspace, 1);
            fleet.run(seconds(2));
            const double limit = fleet.limits().at(workspace).requestsPerSecond * secondsOf(peakTime);
            const auto used = static_cast<double>(fleet.admittedBetween(workspace, peakAt, peakAt + peakTime));
            cr_assert_leq(fleet.largestExcess(), 0, "%s seed %lu: %f", workspace, seed, fleet.largestExcess());
            cr_assert_geq(used, 0.9 * limit, "%s seed %lu: %f of %f", workspace, seed, used, limit);
        }
    }
}

// Tokens that wait at many entries while the bucket fills again would be used in addition to what the bucket permits.
Test(quota_load, demand_that_comes_and_goes_stays_within_the_limit)
{
    for (const milliseconds pause : {milliseconds(400), milliseconds(900)}) {
        quota_fleet fleet({.seed = 5});
        fleet.addUsualLoad();
        fleet.run(warmUp);
        for (int wave = 0; wave < 6; ++wave) {
            fleet.setLoadFactor("w1", 7.5);
            fleet.run(milliseconds(500));
            fleet.setLoadFactor("w1", 0);
            fleet.run(pause);
        }
        cr_assert_leq(fleet.largestExcess(), 0, "pause %ld ms: %f", pause.count(), fleet.largestExcess());
    }
}

// Requests that wait for a server and then get none return their tokens when the next ones come. With tokens that live
// for a second, this replay admitted 1.03 times what the rule permits.
Test(quota_load, tokens_that_are_returned_late_stay_within_the_limit)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        for (const milliseconds wait : {milliseconds(470), milliseconds(900)}) {
            quota_fleet fleet({.seed = seed});
            constexpr double rate = 600;
            workload load{"w", rate, {}};
            constexpr std::size_t callers = 40;
            for (std::size_t caller = 0; caller < callers; ++caller) {
                load.callers.emplace_back(3 * caller, 1.0 / callers);
            }
            fleet.setLimits({{"w", limitFor(rate)}});
            fleet.addLoad(load);
            fleet.run(seconds(4));
            fleet.setLoadFactor("w", 7.5);
            fleet.returnTokensAt(fleet.now() + wait);
            fleet.run(seconds(7));
            cr_assert_leq(fleet.largestExcess(), 0, "seed %lu: %f", seed, fleet.largestExcess());
        }
    }
}

// The delay must be short enough for the limit to be used, and callers that were rejected together must not return
// together.
Test(quota_load, rejected_callers_return_spread_over_the_time_in_which_they_can_be_served)
{
    random_source random(6);
    quota_account account("e1", "w", {10, 10}, {}, 0, startTime, random);
    account.setIssuers({"e2"});
    account.setFleetSize(137);
    const time_point now = startTime + seconds(10);
    account.request(now, random);
    const auto message = account.advance(now, random).message;
    cr_assert(message);
    const auto &request = std::get<token_request>(message->message);
    account.recordGrant({"e2", "w", request.number, true, 1, milliseconds(100), ""}, now, random);
    account.advance(now, random);
    milliseconds earliest{10'000};
    milliseconds latest{0};
    for (int count = 0; count < 40; ++count) {
        const quota_decision decision = account.request(now + milliseconds(1), random);
        cr_assert_eq(decision.verdict, quota_verdict::rejected);
        earliest = std::min(earliest, decision.retryAfter);
        latest = std::max(latest, decision.retryAfter);
    }
    cr_assert_geq(earliest.count(), 99);
    cr_assert_leq(earliest.count(), 500);
    cr_assert_geq(latest.count(), 1000);
}
