#include "cardamomdeck/dispatch/coldserverpacer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

using namespace cardamomdeck;

// Above the bound a cold server crashes, whoever sends the requests. The simulations run all entries of a fleet, each
// with what it knows itself, and count what reaches one server in any second.

namespace {

const time_point start{seconds(1000)};
constexpr cold_request_limit limit{5.8, 1.5, 8};
constexpr milliseconds step{10};

/** One entry with its own clock, which stands still while the machine is suspended. */
struct simulated_entry
{
    explicit simulated_entry(unsigned seed)
        : random(seed)
    {
    }

    void restart(time_point now)
    {
        pacers.assign(pacers.size(), cold_server_pacer());
        size = fleet_size_estimate();
        startsAt = now + coldStartDelay;
    }

    random_source random;
    std::vector<cold_server_pacer> pacers = std::vector<cold_server_pacer>(1);
    fleet_size_estimate size;
    time_point startsAt = start;
    time_point resumedAt;
    milliseconds suspended{0};
    bool confirmed = true;
    bool isRunning = true;
};

struct simulation
{
    simulation(std::size_t entryCount, unsigned seed, std::size_t servers = 1)
        : arrivals(servers)
    {
        for (unsigned i = 0; i < entryCount; ++i) {
            entries.emplace_back(seed * 1000 + i).pacers.resize(servers);
            entries.back().size.record(entryCount, start);
        }
    }

    /** Sends as many of @p requests as @p entry may send to @p server at @p now. */
    void send(simulated_entry &entry, std::size_t server, std::size_t requests, time_point now)
    {
        if (!entry.isRunning) {
            return;
        }
        const time_point localNow = now - entry.suspended;
        const fleet_contact contact{entry.confirmed, entry.resumedAt, entry.size.entries(localNow)};
        const auto terms = coldPermitTerms(limit, contact, entry.startsAt, localNow);
        while (terms && requests-- > 0 && entry.pacers[server].tryUsePermit(*terms, localNow, entry.random)) {
            arrivals[server].push_back(now);
        }
    }

    /** Runs @p duration with @p requests new requests of each entry for each server in each step. */
    void run(milliseconds duration, const std::function<std::size_t(std::size_t entry, milliseconds passed)> &requests)
    {
        for (milliseconds passed{0}; passed < duration; passed += step) {
            if (beforeStep) {
                beforeStep(passed);
            }
            for (std::size_t entry = 0; entry < entries.size(); ++entry) {
                for (std::size_t server = 0; server < arrivals.size(); ++server) {
                    send(entries[entry], server, requests(entry, passed), start + passed);
                }
            }
        }
    }

    /** Largest number of requests that reached one server in any one second. */
    std::size_t maxInOneSecond() const
    {
        std::size_t maximum = 0;
        for (const std::vector<time_point> &times : arrivals) {
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] > seconds(1)) {
                    ++first;
                }
                maximum = std::max(maximum, last - first + 1);
            }
        }
        return maximum;
    }

    std::size_t total() const
    {
        std::size_t sum = 0;
        for (const std::vector<time_point> &times : arrivals) {
            sum += times.size();
        }
        return sum;
    }

    std::vector<simulated_entry> entries;
    std::vector<std::vector<time_point>> arrivals;
    std::function<void(milliseconds passed)> beforeStep;
};

std::size_t hugeDemand(std::size_t, milliseconds)
{
    return 10;
}

void assertWithinBound(const simulation &fleet, unsigned seed)
{
    cr_assert_leq(static_cast<double>(fleet.maxInOneSecond()), maxColdRequests(limit), "seed %u", seed);
}

/** Asserts that @p total requests in @p serverSeconds are not far from the rate of the permits. */
void assertGetsWork(std::size_t total, double serverSeconds, double minimumShare)
{
    cr_assert_gt(static_cast<double>(total), minimumShare * coldPermitRate(limit) * serverSeconds);
}

}

TestSuite(cold_permit_rate);

Test(cold_permit_rate, keeps_the_mean_five_deviations_below_the_bound)
{
    cr_assert_float_eq(maxColdRequests(limit), 16.7, 1e-9);
    const double mean = 1.5 * coldPermitRate(limit);
    cr_assert_float_eq(mean + 5 * std::sqrt(mean), 16.7, 1e-9);
}

Test(cold_permit_rate, never_exceeds_the_rate_of_the_service)
{
    cr_assert_eq(coldPermitRate({2, 1.5, 100}), 2);
}

Test(cold_permit_rate, grants_nothing_for_tolerances_that_make_no_sense)
{
    for (const double value : {-1e9, -std::nan(""), std::nan("")}) {
        cr_assert_eq(coldPermitRate({5.8, 1.5, value}), 0);
        random_source random(1);
        cold_server_pacer pacer;
        cr_assert_not(pacer.hasPermit({coldPermitRate({5.8, 1.5, value}), 1, {}}, start, random));
    }
}

TestSuite(cold_permit);

Test(cold_permit, is_used_once)
{
    random_source random(3);
    const cold_permit_terms terms{1.0, 100, {}};
    cold_server_pacer pacer;
    time_point now = start;
    while (!pacer.hasPermit(terms, now, random)) {
        now += step;
    }
    cr_assert(pacer.tryUsePermit(terms, now, random));
    cr_assert_not(pacer.tryUsePermit(terms, now, random));
}

Test(cold_permit, expires_after_its_lifetime_however_many_were_saved)
{
    random_source random(5);
    const cold_permit_terms terms{100.0, 1000, {}};
    cold_server_pacer pacer;
    pacer.hasPermit(terms, start, random);
    const time_point later = start + seconds(60);
    std::size_t used = 0;
    while (pacer.tryUsePermit(terms, later, random)) {
        ++used;
    }
    cr_assert_lt(used, 80, "%zu permits drawn at 100 per second within 0.5 s", used);
    cr_assert_gt(used, 25);
}

Test(cold_permit, drawn_before_a_pause_is_void)
{
    // Guards against the permits that a suspended machine keeps, whose clock stood still meanwhile.
    for (unsigned seed = 1; seed <= 200; ++seed) {
        random_source random(seed);
        cold_server_pacer pacer;
        pacer.hasPermit({50.0, 1000, {}}, start, random);
        cr_assert_not(pacer.hasPermit({50.0, 1000, start}, start, random));
    }
}

Test(cold_permit, drawn_for_a_smaller_fleet_is_void)
{
    random_source random(5);
    cold_server_pacer pacer;
    cr_assert(pacer.hasPermit({100.0, 1000, {}}, start, random));
    cr_assert_not(pacer.hasPermit({1.0, 1000, {}}, start, random));
}

Test(cold_permit, is_drawn_in_bounded_time_at_any_rate)
{
    random_source random(5);
    cold_server_pacer pacer;
    cr_assert(pacer.hasPermit({1e300, 1000, {}}, start, random));
    cr_assert(pacer.hasPermit({1e300, 1000, {}}, start + seconds(3600), random));
}

Test(cold_permit, is_not_granted_out_of_contact_or_just_after_the_start)
{
    cr_assert(coldPermitTerms(limit, {true, {}, 137}, start, start));
    cr_assert_not(coldPermitTerms(limit, {false, {}, 137}, start, start));
    cr_assert_not(coldPermitTerms(limit, {true, {}, 137}, start + milliseconds(1), start));
}

TestSuite(cold_server_in_a_fleet);

// Guards against demand that raises the sum: every entry has more requests than the server takes.
Test(cold_server_in_a_fleet, huge_demand_at_every_entry)
{
    for (const std::size_t entryCount : {1U, 3U, 14U, 50U, 137U, 300U}) {
        std::size_t total = 0;
        constexpr unsigned seeds = 20;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            simulation fleet(entryCount, seed);
            fleet.run(seconds(5), hugeDemand);
            assertWithinBound(fleet, seed);
            total += fleet.total();
        }
        assertGetsWork(total, 5 * seeds, 0.9);
    }
}

// Guards against permits that add up while there is no demand, and are all used when it comes.
Test(cold_server_in_a_fleet, all_callers_come_at_one_moment_again_and_again)
{
    const auto bursts = [](std::size_t, milliseconds passed) -> std::size_t {
        return passed % milliseconds(1600) >= milliseconds(500) ? 10 : 0;
    };
    for (const std::size_t entryCount : {3U, 137U, 300U}) {
        std::size_t total = 0;
        constexpr unsigned seeds = 20;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            simulation fleet(entryCount, seed);
            fleet.run(milliseconds(4800), bursts);
            assertWithinBound(fleet, seed);
            total += fleet.total();
        }
        assertGetsWork(total, 4.8 * seeds, 0.9);
    }
}

// A service whose callers keep their connections to two entries: the share of these two is all that is sent.
Test(cold_server_in_a_fleet, uneven_demand)
{
    const auto twoEntries = [](std::size_t entry, milliseconds) -> std::size_t {
        return entry < 2 ? 10 : 0;
    };
    const auto mostEntries = [](std::size_t entry, milliseconds) -> std::size_t {
        return entry % 3 == 0 ? 10 : 1;
    };
    std::size_t total = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        for (const std::size_t entryCount : {137U, 300U}) {
            simulation few(entryCount, seed);
            few.run(seconds(5), twoEntries);
            assertWithinBound(few, seed);
            simulation most(entryCount, seed);
            most.run(seconds(5), mostEntries);
            assertWithinBound(most, seed);
            total += most.total();
        }
    }
    assertGetsWork(total, 5 * 2 * 20, 0.9);
}

// A request in five seconds at each entry: the server gets work although most permits expire.
Test(cold_server_in_a_fleet, tiny_demand)
{
    std::size_t total = 0;
    constexpr unsigned seeds = 20;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        simulation fleet(137, seed);
        fleet.run(seconds(5), [](std::size_t entry, milliseconds passed) -> std::size_t {
            return passed == step * static_cast<milliseconds::rep>((entry * 37) % 500) ? 1 : 0;
        });
        assertWithinBound(fleet, seed);
        total += fleet.total();
    }
    cr_assert_gt(total, seeds / 2);
}

// Guards against entries that see only their part of the fleet, and would take larger shares if they forgot the others.
Test(cold_server_in_a_fleet, cut_off_zones_remember_the_size_of_the_fleet)
{
    for (const std::size_t entryCount : {137U, 300U}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            simulation fleet(entryCount, seed);
            fleet.beforeStep = [&](milliseconds passed) {
                for (simulated_entry &entry : fleet.entries) {
                    entry.size.record(entryCount / 3, start + passed);
                }
            };
            fleet.run(seconds(5), hugeDemand);
            assertWithinBound(fleet, seed);
        }
    }
}

// Guards against entries without contact, which nobody counts any more.
Test(cold_server_in_a_fleet, entries_without_contact_send_nothing)
{
    simulation fleet(137, 1);
    for (simulated_entry &entry : fleet.entries) {
        entry.confirmed = false;
    }
    fleet.run(seconds(5), hugeDemand);
    cr_assert_eq(fleet.total(), 0);
}

// Guards against entries that start and know only themselves: each would take the rate of the whole fleet.
Test(cold_server_in_a_fleet, entries_that_restart_wait_until_they_know_the_fleet)
{
    for (const std::size_t entryCount : {137U, 300U}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            simulation fleet(entryCount, seed);
            fleet.beforeStep = [&](milliseconds passed) {
                for (std::size_t i = 0; i < entryCount; i += 4) {
                    if (passed == seconds(1)) {
                        fleet.entries[i].restart(start + passed);
                    }
                    const bool isAlone = passed >= seconds(1) && passed < milliseconds(2500);
                    fleet.entries[i].size.record(isAlone ? 1 : entryCount, start + passed);
                }
            };
            fleet.run(seconds(7), hugeDemand);
            assertWithinBound(fleet, seed);
        }
    }
}

// Guards against a third of the entries that is suspended, at different times, and wakes at one moment with the permits
// of that time.
Test(cold_server_in_a_fleet, entries_that_wake_from_a_pause)
{
    for (const std::size_t entryCount : {137U, 300U}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            simulation fleet(entryCount, seed);
            constexpr milliseconds wakeAt{4000};
            fleet.beforeStep = [&](milliseconds passed) {
                for (std::size_t i = 0; i < entryCount; i += 3) {
                    simulated_entry &entry = fleet.entries[i];
                    const milliseconds sleepsAt(1000 + 5 * static_cast<milliseconds::rep>(i));
                    entry.isRunning = passed < sleepsAt || passed >= wakeAt;
                    if (passed == wakeAt) {
                        entry.suspended = wakeAt - sleepsAt;
                        entry.resumedAt = start + sleepsAt;
                        entry.confirmed = false;
                    }
                    if (passed == wakeAt + milliseconds(50)) {
                        entry.confirmed = true;
                    }
                }
            };
            fleet.run(seconds(7), hugeDemand);
            assertWithinBound(fleet, seed);
        }
    }
}

// A whole availability zone of servers turns cold at one moment: the bound holds for each of them, and each gets work.
Test(cold_server_in_a_fleet, whole_zone_turns_cold_at_once)
{
    for (const std::size_t entryCount : {137U, 300U}) {
        simulation fleet(entryCount, 11, 45);
        fleet.run(seconds(3), hugeDemand);
        assertWithinBound(fleet, 11);
        assertGetsWork(fleet.total(), 3 * 45, 0.9);
        for (const std::vector<time_point> &times : fleet.arrivals) {
            cr_assert_gt(times.size(), 0);
        }
    }
}

TestSuite(retry_delay_while_cold);

// Guards against callers that all return at one moment.
Test(retry_delay_while_cold, is_spread_around_the_expected_time)
{
    random_source random(1);
    std::vector<long> delays;
    for (int i = 0; i < 1000; ++i) {
        delays.push_back(retryDelayWhileCold(milliseconds(1000), random).count());
    }
    std::ranges::sort(delays);
    cr_assert_geq(delays.front(), 500);
    cr_assert_leq(delays.back(), 1500);
    cr_assert_gt(delays[900] - delays[100], 700);
    cr_assert_gt(retryDelayWhileCold(milliseconds(-5), random).count(), 0);
    cr_assert_leq(retryDelayWhileCold(milliseconds(3'600'000), random).count(), 3000);
}
