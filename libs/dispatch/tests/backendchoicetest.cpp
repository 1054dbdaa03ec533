#include "cardamomdeck/dispatch/admission.h"
#include "cardamomdeck/dispatch/backendchoice.h"

#include <criterion/criterion.h>

#include <vector>

using namespace cardamomdeck;

namespace {

choice_request millLookup()
{
    return {{60.0, 60.0}, 200.0, 480.0, 2.0};
}

backend_candidate reporting(std::uint32_t running, std::uint32_t waiting, double pace)
{
    backend_candidate candidate;
    candidate.report = load_report{running, waiting, 2, pace};
    return candidate;
}

std::size_t chosen(const std::vector<backend_candidate> &candidates, const choice_request &request)
{
    random_source random(1);
    return chooseBackend(candidates, request, random)->index;
}

}

TestSuite(load_shifts_within_milliseconds);

Test(load_shifts_within_milliseconds, a_free_slot_goes_before_a_queue)
{
    cr_assert_eq(chosen({reporting(2, 1, 1.0), reporting(1, 0, 1.0)}, millLookup()), 1);
}

Test(load_shifts_within_milliseconds, a_quick_server_goes_before_one_that_its_neighbours_slow_down)
{
    cr_assert_eq(chosen({reporting(0, 0, 5.0), reporting(1, 0, 1.0)}, millLookup()), 1);
}

Test(load_shifts_within_milliseconds, the_pace_of_the_moment_does_not_tell_about_work_that_starts_later)
{
    const work_profile work{60.0, 60.0};
    const double slow = estimateCompletion({2, 0, 2, 5.0}, 0, work, 2.0).totalMs();
    const double quick = estimateCompletion({2, 0, 2, 1.0}, 0, work, 2.0).totalMs();
    cr_assert_eq(slow, quick);
}

Test(load_shifts_within_milliseconds, own_requests_sent_since_the_report_count)
{
    backend_candidate busy = reporting(0, 0, 1.0);
    busy.sentSince = 2;
    cr_assert_eq(chosen({busy, reporting(1, 0, 1.0)}, millLookup()), 1);
}

TestSuite(servers_differ);

Test(servers_differ, one_that_fails_often_comes_last)
{
    backend_candidate failing = reporting(0, 0, 1.0);
    failing.failureShare = 0.5;
    cr_assert_eq(chosen({failing, reporting(1, 1, 1.0)}, millLookup()), 1);
}

Test(servers_differ, another_zone_is_worth_its_bytes_only_for_a_clear_gain)
{
    backend_candidate far = reporting(0, 0, 1.0);
    far.sameZone = false;
    cr_assert_eq(chosen({far, reporting(1, 0, 1.0)}, millLookup()), 1);
    cr_assert_eq(chosen({far, reporting(2, 2, 1.0)}, millLookup()), 0);
}

Test(servers_differ, one_that_warms_up_gets_less)
{
    backend_candidate warming = reporting(0, 0, 1.0);
    warming.warmingUp = true;
    cr_assert_eq(chosen({warming, reporting(1, 0, 1.0)}, millLookup()), 1);
}

TestSuite(a_rule_is_new);

Test(a_rule_is_new, its_first_requests_are_sent_also_for_callers_less_patient_than_its_objective)
{
    random_source random(1);
    constexpr double objectiveMs = 1200;
    constexpr double patienceMs = 300;
    const double guess = guessedWorkMs(objectiveMs, patienceMs);
    const choice_request request{{guess, guess}, objectiveMs, patienceMs, 2.0};
    const auto choice = chooseBackend(std::vector{reporting(1, 0, 1.0)}, request, random);
    cr_assert(admit(choice, request, 2, 1, random).admitted);
}

TestSuite(the_fleet_is_overloaded);

Test(the_fleet_is_overloaded, what_cannot_be_answered_in_time_is_refused_at_once)
{
    random_source random(1);
    const backend_choice late{0, 900.0, false};
    const admission_decision decision = admit(late, millLookup(), 1, 1, random);
    cr_assert_not(decision.admitted);
    cr_assert_gt(decision.retryAfter.count(), 0);
    cr_assert_leq(decision.retryAfter.count(), 160);
}

Test(the_fleet_is_overloaded, less_urgent_requests_yield_first)
{
    random_source random(1);
    const backend_choice late{0, 300.0, false};
    cr_assert_not(admit(late, millLookup(), 2, 1, random).admitted);
    cr_assert(admit(late, millLookup(), 1, 1, random).admitted);
}

Test(the_fleet_is_overloaded, a_free_slot_is_used_by_anyone)
{
    random_source random(1);
    cr_assert(admit(backend_choice{0, 300.0, true}, millLookup(), 2, 1, random).admitted);
}

Test(the_fleet_is_overloaded, refused_callers_do_not_return_together)
{
    random_source random(1);
    std::vector<std::int64_t> pauses;
    for (int i = 0; i < 20; ++i) {
        pauses.push_back(
            admit(backend_choice{0, 560.0, false}, {{60, 60}, 500, 550, 1}, 1, 1, random).retryAfter.count());
    }
    cr_assert_gt(*std::ranges::max_element(pauses) - *std::ranges::min_element(pauses), 10);
}
