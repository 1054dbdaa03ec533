#include "cardamomdeck/dispatch/backendavailability.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};
constexpr milliseconds pauseTime{2000};
constexpr milliseconds maxEnd{2400};

struct availability_fixture
{
    random_source random{7};
    backend_availability server;
};

}

TestSuite(leaving_server);

Test(leaving_server, receives_nothing_whatever_happens_later)
{
    availability_fixture fixture;
    cr_assert(fixture.server.isAvailable(start));
    cr_assert(fixture.server.recordLeaving(start));
    cr_assert_not(fixture.server.recordLeaving(start + seconds(1)));
    cr_assert_eq(*fixture.server.leavingSince(), start);
    fixture.server.recordPause(start, pauseTime, fixture.random);
    fixture.server.recordResponse();
    fixture.server.recordFailure();
    cr_assert_not(fixture.server.isAvailable(start + seconds(3600)));
    cr_assert_not(fixture.server.tryStartRequest(start + seconds(3600)));
}

TestSuite(paused_server);

Test(paused_server, receives_nothing_until_the_pause_ends)
{
    availability_fixture fixture;
    cr_assert(fixture.server.recordPause(start, pauseTime, fixture.random));
    for (milliseconds passed{0}; passed < pauseTime; passed += milliseconds(50)) {
        cr_assert_not(fixture.server.isAvailable(start + passed));
        cr_assert_not(fixture.server.tryStartRequest(start + passed));
    }
    cr_assert(fixture.server.isAvailable(start + maxEnd));
}

Test(paused_server, later_pause_extends_and_none_shortens)
{
    availability_fixture fixture;
    cr_assert(fixture.server.recordPause(start, pauseTime, fixture.random));
    const time_point end = *fixture.server.pausedUntil(start);
    cr_assert_not(fixture.server.recordPause(start + milliseconds(10), milliseconds(0), fixture.random));
    cr_assert_not(fixture.server.recordPause(start + milliseconds(10), milliseconds(100), fixture.random));
    cr_assert_eq(*fixture.server.pausedUntil(start), end);
    cr_assert(fixture.server.recordPause(start + seconds(1), pauseTime, fixture.random));
    cr_assert_geq(*fixture.server.pausedUntil(start), start + seconds(1) + pauseTime);
}

Test(paused_server, responses_to_earlier_requests_do_not_end_the_pause)
{
    availability_fixture fixture;
    fixture.server.recordPause(start, pauseTime, fixture.random);
    fixture.server.recordResponse();
    fixture.server.recordFailure();
    cr_assert_not(fixture.server.isAvailable(start + pauseTime - milliseconds(1)));
}

Test(paused_server, ends_are_spread)
{
    std::vector<time_point> ends;
    for (unsigned entry = 0; entry < 100; ++entry) {
        availability_fixture fixture;
        fixture.random.seed(entry);
        fixture.server.recordPause(start, pauseTime, fixture.random);
        ends.push_back(*fixture.server.pausedUntil(start));
    }
    const auto [first, last] = std::ranges::minmax(ends);
    cr_assert_geq(first, start + pauseTime);
    cr_assert_leq(last, start + maxEnd);
    cr_assert_gt(last - first, milliseconds(300));
}

TestSuite(return_after_a_pause);

Test(return_after_a_pause, first_request_goes_alone)
{
    availability_fixture fixture;
    fixture.server.recordPause(start, pauseTime, fixture.random);
    const time_point now = start + maxEnd;
    cr_assert(fixture.server.tryStartRequest(now));
    cr_assert_not(fixture.server.isAvailable(now));
    cr_assert_not(fixture.server.tryStartRequest(now));
    // Callers of the other requests are told when to return.
    cr_assert_eq(*fixture.server.pausedUntil(now), now + request_pause::trialTimeout);
    fixture.server.recordResponse();
    for (int i = 0; i < 10; ++i) {
        cr_assert(fixture.server.tryStartRequest(now));
    }
}

Test(return_after_a_pause, rejected_first_request_starts_the_next_pause)
{
    availability_fixture fixture;
    fixture.server.recordPause(start, pauseTime, fixture.random);
    const time_point now = start + maxEnd;
    cr_assert(fixture.server.tryStartRequest(now));
    cr_assert(fixture.server.recordPause(now, pauseTime, fixture.random));
    cr_assert_not(fixture.server.isAvailable(now + pauseTime - milliseconds(1)));
    cr_assert(fixture.server.tryStartRequest(now + maxEnd));
    cr_assert_not(fixture.server.tryStartRequest(now + maxEnd));
}

Test(return_after_a_pause, failed_first_request_is_followed_by_another_one)
{
    availability_fixture fixture;
    fixture.server.recordPause(start, pauseTime, fixture.random);
    const time_point now = start + maxEnd;
    cr_assert(fixture.server.tryStartRequest(now));
    fixture.server.recordFailure();
    cr_assert(fixture.server.tryStartRequest(now));
    cr_assert_not(fixture.server.tryStartRequest(now));
}

Test(return_after_a_pause, long_first_request_does_not_hold_the_others_back)
{
    availability_fixture fixture;
    fixture.server.recordPause(start, pauseTime, fixture.random);
    const time_point now = start + maxEnd;
    cr_assert(fixture.server.tryStartRequest(now));
    cr_assert(fixture.server.tryStartRequest(now + request_pause::trialTimeout));
    cr_assert(fixture.server.tryStartRequest(now + request_pause::trialTimeout));
}

TestSuite(availability_of_incarnations);

Test(availability_of_incarnations, leaving_holds_while_the_registration_expires_and_returns)
{
    backend_availability_table table;
    table.find("s", 10, start)->recordLeaving(start);
    table.removeUnused(start);
    table.removeUnused(start + backend_availability_table::retentionTime - milliseconds(1));
    cr_assert_not(table.find("s", 10, start)->isAvailable(start));
}

Test(availability_of_incarnations, later_incarnation_starts_anew_and_earlier_one_does_not)
{
    backend_availability_table table;
    random_source random{7};
    const time_point later = start + milliseconds(1);
    table.find("s", 10, start)->recordLeaving(start);
    table.find("t", 10, start)->recordPause(start, pauseTime, random);
    cr_assert(table.find("s", 11, later)->isAvailable(later));
    cr_assert(table.find("t", 11, later)->isAvailable(later));
    table.find("s", 11, later)->recordLeaving(later);
    cr_assert_not(table.find("s", 10, later)->isAvailable(later));
}

// Guards against requests in a pause that a restarted server asked for before its new record was known.
Test(availability_of_incarnations, pause_that_may_be_that_of_the_next_incarnation_goes_on)
{
    backend_availability_table table;
    random_source random{7};
    table.find("s", 10, start)->recordPause(start, pauseTime, random);
    const backend_availability_ptr restarted = table.find("s", 11, start);
    cr_assert_not(restarted->isAvailable(start + pauseTime - milliseconds(1)));
    cr_assert_not(restarted->tryStartRequest(start + pauseTime - milliseconds(1)));
    cr_assert(restarted->tryStartRequest(start + maxEnd));
}

// Guards against a pause that is recorded for the earlier incarnation only, as the request was sent to that one.
Test(availability_of_incarnations, response_to_an_earlier_request_pauses_the_next_incarnation)
{
    backend_availability_table table;
    random_source random{7};
    const backend_availability_ptr earlier = table.find("s", 10, start);
    const backend_availability_ptr restarted = table.find("s", 11, start);
    earlier->recordPause(start, pauseTime, random);
    cr_assert_not(restarted->isAvailable(start + pauseTime - milliseconds(1)));
}

Test(availability_of_incarnations, states_of_removed_servers_are_dropped)
{
    backend_availability_table table;
    random_source random{7};
    const backend_availability_ptr held = table.find("held", 10, start);
    table.find("idle", 10, start);
    table.find("paused", 10, start)->recordPause(start, pauseTime, random);
    table.find("leaving", 10, start)->recordLeaving(start);
    table.removeUnused(start);
    cr_assert_eq(table.size(), 3);
    table.removeUnused(start + maxEnd);
    cr_assert_eq(table.size(), 2);
    table.removeUnused(start + backend_availability_table::retentionTime);
    cr_assert_eq(table.size(), 1);
}

// Guards against a request to a restarted server that announced that it is leaving before its new record was known.
Test(availability_of_incarnations, leaving_that_may_be_that_of_the_next_incarnation_is_probed_for)
{
    backend_availability_table table;
    table.find("s", 10, start)->recordLeaving(start);
    const backend_availability_ptr restarted = table.find("s", 11, start);
    cr_assert(restarted->needsProbe());
    cr_assert_not(restarted->isAvailable(start));
    cr_assert_not(restarted->tryStartRequest(start));
    cr_assert(restarted->isProbeAllowed(start));
    restarted->recordProbe();
    cr_assert(restarted->tryStartRequest(start));
}

Test(availability_of_incarnations, response_to_an_earlier_request_is_probed_for)
{
    backend_availability_table table;
    const backend_availability_ptr earlier = table.find("s", 10, start);
    const backend_availability_ptr restarted = table.find("s", 11, start);
    cr_assert(restarted->isAvailable(start));
    earlier->recordLeaving(start);
    cr_assert(restarted->needsProbe());
    restarted->recordLeaving(start);
    cr_assert_not(restarted->needsProbe());
    cr_assert_not(restarted->isProbeAllowed(start));
}

// Guards against a probe that is left out because another start lies between the announcement and the last record.
Test(availability_of_incarnations, leaving_is_probed_for_after_several_starts)
{
    backend_availability_table table;
    table.find("s", 10, start)->recordLeaving(start);
    table.find("s", 11, start)->recordProbe();
    cr_assert(table.find("s", 12, start)->needsProbe());
    cr_assert_not(table.find("s", 13, start + milliseconds(1))->needsProbe());
}

TestSuite(announcements_in_any_order);

// Whatever the order of announcements, responses and requests: nothing is sent after leaving or during a pause.
Test(announcements_in_any_order, nothing_is_sent_against_the_last_announcement)
{
    for (unsigned seed = 0; seed < 300; ++seed) {
        availability_fixture fixture;
        std::mt19937 steps(seed);
        time_point now = start;
        time_point pausedUntil = start;
        bool leaving = false;
        for (int step = 0; step < 200; ++step) {
            now += milliseconds(steps() % 300);
            switch (steps() % 12) {
            case 0: {
                const milliseconds duration(steps() % 1000);
                fixture.server.recordPause(now, duration, fixture.random);
                pausedUntil = std::max(pausedUntil, now + duration);
                break;
            }
            case 1:
                leaving = steps() % 20 == 0 || leaving;
                if (leaving) {
                    fixture.server.recordLeaving(now);
                }
                break;
            case 2:
                fixture.server.recordResponse();
                break;
            case 3:
                fixture.server.recordFailure();
                break;
            default:
                if (fixture.server.tryStartRequest(now)) {
                    cr_assert_not(leaving, "seed %u", seed);
                    cr_assert_geq(now, pausedUntil, "seed %u", seed);
                }
            }
        }
    }
}

namespace {

/** A server that restarts under its id, and an entry that learns of it later. */
struct restarting_server
{
    std::mt19937 steps;
    random_source random{7};
    time_point now = start;
    backend_availability_table table;
    /** The present incarnation of the server, and the one that the entry knows. */
    std::int64_t incarnation = 1;
    std::int64_t known = 1;
    time_point startedAt = start;
    backend_availability_ptr state = table.find("s", known, start);
    bool leaving = false;
    time_point pausedUntil = start;

    explicit restarting_server(unsigned seed)
        : steps(seed)
    {
    }

    milliseconds randomTime(unsigned maxMs)
    {
        return milliseconds(steps() % maxMs);
    }

    void restart()
    {
        ++incarnation;
        startedAt = now;
        leaving = false;
        pausedUntil = now;
    }

    void receiveRecord()
    {
        known = incarnation;
        state = table.find("s", known, startedAt - randomTime(2000));
    }

    void loseAndRestoreRecord()
    {
        state.reset();
        table.removeUnused(now);
        state = table.find("s", known, startedAt - randomTime(2000));
    }

    void announcePause()
    {
        const milliseconds duration = randomTime(1000);
        state->recordPause(now, duration, random);
        pausedUntil = std::max(pausedUntil, now + duration);
    }

    void announceLeaving()
    {
        state->recordLeaving(now);
        leaving = true;
    }

    void probe()
    {
        if (state->needsProbe() && state->isProbeAllowed(now)) {
            leaving ? static_cast<void>(state->recordLeaving(now)) : state->recordProbe();
        }
    }
};

}

// Whatever the order of starts, records, removals, announcements and responses: nothing is sent to an incarnation that
// has announced to this entry that it is leaving, or in a pause that it has asked for.
Test(announcements_in_any_order, nothing_is_sent_against_the_announcement_of_a_restarted_server)
{
    for (unsigned seed = 0; seed < 2000; ++seed) {
        restarting_server server(seed);
        for (int step = 0; step < 200; ++step) {
            server.now += server.randomTime(100);
            switch (server.steps() % 24) {
            case 0:
                server.restart();
                break;
            case 1:
            case 2:
                server.receiveRecord();
                break;
            case 3:
                server.loseAndRestoreRecord();
                break;
            case 4:
                server.announcePause();
                break;
            case 5:
                server.announceLeaving();
                break;
            case 6:
                server.state->recordResponse();
                break;
            case 7:
                server.state->recordFailure();
                break;
            case 8:
            case 9:
                server.probe();
                break;
            default:
                if (server.state->tryStartRequest(server.now)) {
                    cr_assert_not(server.leaving, "seed %u, step %d", seed, step);
                    cr_assert_geq(server.now, server.pausedUntil, "seed %u, step %d", seed, step);
                }
            }
        }
    }
}
