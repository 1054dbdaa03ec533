#include "cardamomdeck/dispatch/warmupstate.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

// A server that is cold and taken to be warm gets more requests than it tolerates and crashes.

namespace {

const time_point start{seconds(1000)};
constexpr milliseconds none{0};
constexpr milliseconds warmupTime{3000};

}

TestSuite(cold_server_by_report);

Test(cold_server_by_report, counts_until_the_first_health_response)
{
    warmup_state server;
    cr_assert_not(server.isCold(start));
    server.recordReport(start + warmupTime);
    cr_assert(server.isCold(start + milliseconds(2999)));
    cr_assert_not(server.isCold(start + warmupTime));
}

Test(cold_server_by_report, is_not_cold_after_a_health_response_that_says_so)
{
    warmup_state server;
    server.recordReport(start + warmupTime);
    const time_point now = start + milliseconds(500);
    server.recordProbe(none, now, now);
    cr_assert_not(server.isCold(now));
    // Every change of the view repeats the reports of all servers.
    server.recordReport(start + warmupTime);
    cr_assert_not(server.isCold(now));
}

TestSuite(cold_server_by_health_response);

Test(cold_server_by_health_response, may_turn_cold_at_any_moment)
{
    warmup_state server;
    server.recordProbe(none, start, start);
    const time_point now = start + seconds(100);
    server.recordProbe(warmupTime, now, now);
    cr_assert(server.isCold(now));
    cr_assert_eq(server.coldUntil(), now + warmupTime);
}

Test(cold_server_by_health_response, is_not_ended_by_a_report_or_a_restart)
{
    warmup_state server;
    server.recordProbe(warmupTime, start, start);
    const time_point now = start + milliseconds(100);
    server.recordReport(now);
    cr_assert(server.isCold(now));
    server.recordRestart(now);
    cr_assert(server.isCold(now));
}

Test(cold_server_by_health_response, is_not_ended_by_a_response_that_was_overtaken)
{
    warmup_state server;
    const time_point now = start + milliseconds(5);
    server.recordProbe(warmupTime, start, now);
    server.recordProbe(none, start - milliseconds(300), now + milliseconds(1));
    cr_assert(server.isCold(now + milliseconds(1)));
    server.recordProbe(none, now + milliseconds(2), now + milliseconds(4));
    cr_assert_not(server.isCold(now + milliseconds(4)));
}

TestSuite(report_after_health_response);

Test(report_after_health_response, counts_if_the_server_has_turned_cold_since)
{
    warmup_state server;
    server.recordProbe(none, start, start);
    const time_point now = start + seconds(30);
    server.recordReport(now + warmupTime);
    cr_assert(server.isCold(now));
}

Test(report_after_health_response, does_not_count_if_it_may_have_been_written_before)
{
    warmup_state server;
    server.recordProbe(none, start, start);
    server.recordReport(start + milliseconds(800));
    cr_assert_not(server.isCold(start));
}

Test(report_after_health_response, counts_at_once_for_the_next_incarnation)
{
    warmup_state server;
    server.recordProbe(none, start, start);
    server.recordRestart(start + milliseconds(1500));
    cr_assert(server.isCold(start + milliseconds(100)));
}
