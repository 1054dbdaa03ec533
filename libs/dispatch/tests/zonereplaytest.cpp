#include "zonereplay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numbers>

using namespace cardamomdeck;

namespace {

using outcomes = std::vector<zone_outcome>;

/** Servers of 6 slots; 16 of them serve 320 requests per second. */
constexpr std::size_t zoneServers = 16;

std::function<double(double)> steadyRate(double rate)
{
    return [rate](double) {
        return rate;
    };
}

/** Swings by half of @p mean in 13 s. */
std::function<double(double)> swingingRate(double mean)
{
    return [mean](double elapsedS) {
        return mean * (1.0 + 0.5 * std::sin(2.0 * std::numbers::pi * elapsedS / 13.0));
    };
}

std::vector<replay_zone> zonesWith(replay_zone first, double otherRate)
{
    return {std::move(first), {zoneServers, steadyRate(otherRate)}, {zoneServers, steadyRate(otherRate)}};
}

replay_scenario thirdLost()
{
    return {"a third lost", zonesWith({zoneServers, steadyRate(250), 5}, 180), {replay_rule{"lookup"}}, 90};
}

replay_scenario allLost()
{
    return {"all lost", zonesWith({zoneServers, steadyRate(120), zoneServers}, 120), {replay_rule{"lookup"}}, 70};
}

replay_scenario swingingDemand()
{
    return {"swinging demand", zonesWith({zoneServers, swingingRate(240)}, 180)};
}

replay_scenario burst()
{
    const auto rate = [](double elapsedS) {
        return elapsedS > 20 && elapsedS < 30 ? 450.0 : 180.0;
    };
    return {"burst in one zone", zonesWith({zoneServers, rate}, 180)};
}

replay_scenario allFull()
{
    return {"all zones full", zonesWith({zoneServers, steadyRate(360)}, 360)};
}

replay_scenario fewServers()
{
    return {"5, 4, 3 servers", {{5, steadyRate(65)}, {4, steadyRate(65)}, {3, steadyRate(65)}}};
}

replay_scenario mixedSizes()
{
    return {"1.5 KB and 90 KB",
            zonesWith({zoneServers, steadyRate(400)}, 180),
            {replay_rule{"small", 0.7, 300, 1500}, replay_rule{"large", 0.3, 300, 90'000}}};
}

/** A scenario in which each entry has a few requests per second, as in a fleet of more than a hundred entries. */
replay_scenario withManyEntries(replay_scenario scenario)
{
    scenario.name += ", 120 entries";
    scenario.entriesPerZone = 40;
    return scenario;
}

replay_scenario calm()
{
    return {"calm", zonesWith({zoneServers, steadyRate(200)}, 200)};
}

outcomes play(const replay_scenario &scenario, leave_method method)
{
    return zone_replay(scenario, method).run();
}

double inTimeShare(const outcomes &zones)
{
    double requests = 0;
    double inTime = 0;
    for (const zone_outcome &zone : zones) {
        requests += static_cast<double>(zone.requests);
        inTime += static_cast<double>(zone.inTime);
    }
    return inTime / requests;
}

double crossedShare(const outcomes &zones)
{
    double requests = 0;
    double crossed = 0;
    for (const zone_outcome &zone : zones) {
        requests += static_cast<double>(zone.requests);
        crossed += static_cast<double>(zone.crossed);
    }
    return crossed / requests;
}

double crossedMegabytes(const outcomes &zones)
{
    double bytes = 0;
    for (const zone_outcome &zone : zones) {
        bytes += zone.crossedBytes;
    }
    return bytes / 1e6;
}

/** Smallest and largest share of @p zone from second @p first until @p end. */
std::pair<double, double> shareRange(const zone_outcome &zone, std::ptrdiff_t first, std::ptrdiff_t end)
{
    const auto range = std::minmax_element(zone.shareInSecond.begin() + first, zone.shareInSecond.begin() + end);
    return {*range.first, *range.second};
}

}

TestSuite(zone_that_has_lost_a_third_of_its_servers);

// Guards against a share that is just 0 or 1: the zone sends about the 14 to 20 % that it lacks.
Test(zone_that_has_lost_a_third_of_its_servers, sends_what_is_missing)
{
    const outcomes zones = play(thirdLost(), leave_method::peer_totals);
    cr_assert_gt(zones[0].crossedShare(30, 58), 0.12);
    cr_assert_lt(zones[0].crossedShare(30, 58), 0.28);
    const auto [smallest, largest] = shareRange(zones[0], 30, 58);
    cr_assert_gt(smallest, 0.1);
    cr_assert_lt(largest, 0.45);
    cr_assert_gt(zones[0].inTimeShare(), 0.99);
}

// Guards against help that continues after the servers have returned.
Test(zone_that_has_lost_a_third_of_its_servers, keeps_its_requests_after_their_return)
{
    const outcomes zones = play(thirdLost(), leave_method::peer_totals);
    cr_assert_lt(zones[0].crossedShare(65, 90), 0.01);
    cr_assert_lt(zones[0].shareInSecond.back(), 0.05);
}

// Guards against a helping zone whose own callers wait longer than those that it helps.
Test(zone_that_has_lost_a_third_of_its_servers, does_not_harm_the_others)
{
    const outcomes zones = play(thirdLost(), leave_method::peer_totals);
    for (const std::size_t helper : {1, 2}) {
        cr_assert_gt(zones[helper].inTimeShare(), zones[0].inTimeShare() - 0.002);
        cr_assert_eq(zones[helper].crossed, 0);
    }
}

// Guards against an entry without contact that no longer leaves, or leaves with everything.
Test(zone_that_has_lost_a_third_of_its_servers, is_helped_without_reports_of_peers)
{
    const outcomes zones = play(thirdLost(), leave_method::own_probes);
    cr_assert_gt(zones[0].crossedShare(30, 58), 0.1);
    cr_assert_lt(zones[0].crossedShare(30, 58), 0.28);
    cr_assert_gt(zones[0].inTimeShare(), 0.99);
}

TestSuite(zone_without_servers);

// Guards against requests that wait in a zone whose servers are all lost or evacuated.
Test(zone_without_servers, leaves_with_everything_and_returns)
{
    const outcomes zones = play(allLost(), leave_method::peer_totals);
    cr_assert_gt(zones[0].crossedShare(21, 59), 0.99);
    cr_assert_lt(zones[0].crossedShare(62, 70), 0.02);
    // Requests in flight at the loss are lost.
    cr_assert_gt(zones[0].inTimeShare(), 0.98);
    cr_assert_gt(zones[1].inTimeShare(), 0.98);
}

TestSuite(demand_that_swings_within_13_s);

// Guards against a share that follows the wave to 0 and back.
Test(demand_that_swings_within_13_s, does_not_swing_the_share)
{
    const outcomes zones = play(swingingDemand(), leave_method::peer_totals);
    const auto [smallest, largest] = shareRange(zones[0], 15, 60);
    cr_assert_gt(smallest, 0.05);
    cr_assert_lt(largest, 0.45);
    cr_assert_lt(largest - smallest, 0.2);
}

// Guards against requests that leave in the trough, in which the zone has free servers.
Test(demand_that_swings_within_13_s, keeps_requests_in_the_trough)
{
    const outcomes zones = play(swingingDemand(), leave_method::peer_totals);
    // The second trough lasts from 19.5 to 26 s, the third crest from 26 to 32.5 s.
    cr_assert_lt(zones[0].crossedShare(22, 25), 0.01);
    cr_assert_gt(zones[0].crossedShare(28, 31), 0.1);
    cr_assert_gt(zones[0].inTimeShare(), 0.99);
}

TestSuite(burst_in_one_zone);

// Guards against callers that are rejected while other zones have free servers.
Test(burst_in_one_zone, is_served_better_than_with_the_fixed_cost)
{
    const outcomes zones = play(burst(), leave_method::peer_totals);
    const outcomes fixed = play(burst(), leave_method::fixed_cost);
    cr_assert_gt(inTimeShare(zones), inTimeShare(fixed));
    cr_assert_gt(zones[1].inTimeShare(), 0.99);
    cr_assert_lt(zones[0].crossedShare(36, 60), 0.01);
}

TestSuite(zones_that_are_all_full);

// Guards against full zones that exchange their overload, which costs traffic and helps nobody.
Test(zones_that_are_all_full, keep_their_requests)
{
    cr_assert_lt(crossedShare(play(allFull(), leave_method::peer_totals)), 0.002);
    cr_assert_gt(crossedShare(play(allFull(), leave_method::fixed_cost)), 0.03);
}

TestSuite(service_with_5_4_and_3_servers);

// Guards against a small zone in which single requests move the share, and that is not helped or harms the others.
Test(service_with_5_4_and_3_servers, helps_the_smallest_zone)
{
    const outcomes zones = play(fewServers(), leave_method::peer_totals);
    cr_assert_gt(zones[2].crossedShare(10, 60), 0.1);
    cr_assert_lt(zones[2].crossedShare(10, 60), 0.3);
    cr_assert_lt(zones[0].crossedShare(10, 60), 0.01);
    for (const zone_outcome &zone : zones) {
        cr_assert_gt(zone.inTimeShare(), 0.985);
    }
}

TestSuite(responses_of_different_sizes);

// Guards against large responses that cross zones while small ones could.
Test(responses_of_different_sizes, send_the_small_ones_first)
{
    outcomes zones = play(mixedSizes(), leave_method::peer_totals);
    const outcomes fixed = play(mixedSizes(), leave_method::fixed_cost);
    const double large = static_cast<double>(zones[0].crossedByRule["large"]);
    const double small = static_cast<double>(zones[0].crossedByRule["small"]);
    cr_assert_lt(large, 0.02 * small);
    cr_assert_gt(zones[0].crossedShare(10, 60), 0.15);
    cr_assert_lt(crossedMegabytes(zones), 0.2 * crossedMegabytes(fixed));
    cr_assert_gt(inTimeShare(zones), inTimeShare(fixed));
}

TestSuite(zones_with_free_servers);

// Guards against traffic between zones that nobody needs.
Test(zones_with_free_servers, keep_their_requests)
{
    cr_assert_lt(crossedShare(play(calm(), leave_method::peer_totals)), 0.001);
}

TestSuite(comparison_of_methods);

// Prints the table of docs/design/ZONE-OVERFLOW.md if CARDAMOMDECK_REPLAY_TABLE is set.
Test(comparison_of_methods, prints_a_table)
{
    if (std::getenv("CARDAMOMDECK_REPLAY_TABLE") == nullptr) {
        return;
    }
    constexpr std::array<const char *, 4> methodNames{"fixed cost", "own probes", "peer totals", "random shares"};
    std::printf(
        "| scenario | method | in time, helped zone | in time, other zones | in time, all | crossed | crossed MB |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    for (const replay_scenario &scenario : {thirdLost(),
                                            allLost(),
                                            swingingDemand(),
                                            burst(),
                                            allFull(),
                                            fewServers(),
                                            mixedSizes(),
                                            calm(),
                                            withManyEntries(thirdLost()),
                                            withManyEntries(swingingDemand()),
                                            withManyEntries(fewServers()),
                                            withManyEntries(mixedSizes())}) {
        for (std::size_t method = 0; method < methodNames.size(); ++method) {
            const outcomes zones = play(scenario, static_cast<leave_method>(method));
            const std::size_t helped = scenario.zones[0].servers < zoneServers ? 2 : 0;
            outcomes others = zones;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(helped));
            std::printf("| %s | %s | %.1f %% | %.1f %% | %.1f %% | %.1f %% | %.1f |\n",
                        scenario.name.c_str(),
                        methodNames.at(method),
                        100 * zones[helped].inTimeShare(),
                        100 * inTimeShare(others),
                        100 * inTimeShare(zones),
                        100 * crossedShare(zones),
                        crossedMegabytes(zones));
        }
    }
}
