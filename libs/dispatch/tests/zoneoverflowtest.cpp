#include "cardamomdeck/dispatch/zoneoverflow.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point startTime = time_point() + std::chrono::hours(1);
const std::map<std::string, double> allSlots{{"a", 60}, {"b", 60}, {"c", 60}};

/** An entry of zone a whose rule "light" has 1.5 KB and "large" 90 KB. */
class overflow_fixture
{
public:
    zone_overflow overflow{"a", {3.0, 400.0}};

    /** Reports loads, and requests of both rules, for ten seconds. */
    void run(double homeUtilization, double otherUtilization, const std::map<std::string, double> &slots = allSlots)
    {
        for (const time_point end = m_now + seconds(10); m_now < end; m_now += milliseconds(50)) {
            overflow.recordRequest("light", 100, 0, m_now);
            overflow.recordBytes("light", 1500);
            overflow.recordRequest("large", 100, 1, m_now);
            overflow.recordSent("a", 200, m_now);
            overflow.recordBytes("large", 90'000);
            overflow.loads().recordReport("a", "", homeUtilization, m_now, m_now);
            overflow.loads().recordReport("b", "", otherUtilization, m_now, m_now);
            overflow.loads().recordReport("c", "", otherUtilization, m_now, m_now);
            overflow.update(slots, m_now);
        }
    }

    /** Share of the decisions about @p request that have @p reason. */
    double shareOf(const overflow_request &request, leave_reason reason)
    {
        constexpr int decisions = 1000;
        int count = 0;
        for (int i = 0; i < decisions; ++i) {
            count += overflow.decide(request, m_random).reason == reason ? 1 : 0;
        }
        return static_cast<double>(count) / decisions;
    }

    leave_decision decideFirst(const overflow_request &request)
    {
        return overflow.decideFirst(request, m_random);
    }

private:
    time_point m_now = startTime;
    random_source m_random{1};
};

/** A request that would wait for some time in its zone. */
overflow_request makeRequest(const std::string &rule, double homeLatencyMs, double objectiveMs = 300)
{
    overflow_request request;
    request.rule = rule;
    request.priority = rule == "large" ? 1 : 0;
    request.choice = {{100, 100}, objectiveMs, 1000, 1.0, std::nullopt};
    request.homeChoice = backend_choice{0, homeLatencyMs, false};
    return request;
}

}

TestSuite(request_in_a_zone_with_free_servers);

Test(request_in_a_zone_with_free_servers, stays)
{
    overflow_fixture fixture;
    fixture.run(0.7, 0.1);
    cr_assert_eq(fixture.shareOf(makeRequest("light", 250), leave_reason::none), 1.0);
    cr_assert_not(fixture.decideFirst(makeRequest("light", 250)).mayLeave());
}

TestSuite(request_in_a_zone_that_lacks_servers);

Test(request_in_a_zone_that_lacks_servers, leaves_if_it_belongs_to_the_share)
{
    overflow_fixture fixture;
    fixture.run(1.2, 0.1);
    cr_assert_float_eq(fixture.shareOf(makeRequest("light", 250), leave_reason::shortage), 0.5, 0.06);
    cr_assert_eq(fixture.shareOf(makeRequest("large", 250), leave_reason::none), 1.0);
}

// Guards against crossing for a gain that is smaller than what the operator pays.
Test(request_in_a_zone_that_lacks_servers, stays_if_crossing_does_not_pay)
{
    overflow_fixture fixture;
    fixture.run(1.2, 0.1);
    cr_assert_eq(fixture.shareOf(makeRequest("light", 103), leave_reason::none), 1.0);
}

Test(request_in_a_zone_that_lacks_servers, is_probed_elsewhere_first_only_while_the_zone_is_busy)
{
    overflow_fixture fixture;
    fixture.run(1.2, 0.1);
    int first = 0;
    for (int i = 0; i < 100; ++i) {
        first += fixture.decideFirst(makeRequest("light", 250)).mayLeave() ? 1 : 0;
    }
    cr_assert_gt(first, 30);
    cr_assert_lt(first, 70);
}

TestSuite(request_that_would_be_rejected);

// Guards against large responses that stay until their callers have given up.
Test(request_that_would_be_rejected, leaves_if_another_zone_has_room)
{
    overflow_fixture fixture;
    fixture.run(0.92, 0.1);
    cr_assert_eq(fixture.shareOf(makeRequest("large", 350), leave_reason::deadline), 1.0);
    cr_assert_eq(fixture.shareOf(makeRequest("light", 1100), leave_reason::deadline), 1.0);
    cr_assert_eq(fixture.shareOf(makeRequest("light", 350), leave_reason::none), 1.0);
}

// Guards against full zones that exchange what they reject.
Test(request_that_would_be_rejected, stays_if_all_zones_are_full)
{
    overflow_fixture fixture;
    fixture.run(1.2, 1.1);
    cr_assert_eq(fixture.shareOf(makeRequest("light", 1100), leave_reason::none), 1.0);
}

TestSuite(request_in_a_zone_without_servers);

Test(request_in_a_zone_without_servers, leaves_even_to_a_busy_zone)
{
    overflow_fixture fixture;
    fixture.run(1.2, 1.1, {{"b", 60}});
    overflow_request request = makeRequest("large", 0);
    request.homeChoice.reset();
    request.hasHomeServer = false;
    const leave_decision expected{leave_reason::no_server, "b", 3.0, false};
    cr_assert(fixture.decideFirst(request) == expected);
    // Also if this is known only after its servers have not responded to probes.
    cr_assert_eq(fixture.shareOf(request, leave_reason::no_server), 1.0);
    cr_assert_eq(fixture.overflow.state().share, 1.0);
    cr_assert_eq(fixture.overflow.state().shareByRule.at("large"), 1.0);
}

// Guards against leaving before anything is known: a starting entry has no observations.
Test(request_in_a_zone_without_servers, and_without_other_zones_has_no_share)
{
    overflow_fixture fixture;
    fixture.run(1.2, 1.1, {});
    cr_assert_eq(fixture.overflow.state().share, 0.0);
}
