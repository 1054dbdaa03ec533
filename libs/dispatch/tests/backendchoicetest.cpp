#include "cardamomdeck/dispatch/admission.h"
#include "cardamomdeck/dispatch/backendchoice.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

choice_request lookupRequest()
{
    return {{60.0, 60.0}, 200.0, 480.0, 2.0};
}

backend_candidate candidateWithReport(std::uint32_t running, std::uint32_t waiting, double slowdown)
{
    backend_candidate candidate;
    candidate.report = load_report{running, waiting, 2, slowdown};
    return candidate;
}

std::size_t chosenIndex(const std::vector<backend_candidate> &candidates, const choice_request &request)
{
    random_source random(1);
    return chooseBackend(candidates, request, random)->index;
}

}

TestSuite(backend_choice_by_load);

Test(backend_choice_by_load, prefers_free_slot_over_queue)
{
    cr_assert_eq(chosenIndex({candidateWithReport(2, 1, 1.0), candidateWithReport(1, 0, 1.0)}, lookupRequest()), 1);
}

Test(backend_choice_by_load, prefers_server_without_slowdown)
{
    cr_assert_eq(chosenIndex({candidateWithReport(0, 0, 5.0), candidateWithReport(1, 0, 1.0)}, lookupRequest()), 1);
}

Test(backend_choice_by_load, reported_slowdown_does_not_apply_to_queued_request)
{
    const service_times serviceTimes{60.0, 60.0};
    const double slowedDownMs = estimateCompletion({2, 0, 2, 5.0}, 0, serviceTimes, 2.0).totalMs();
    const double usualMs = estimateCompletion({2, 0, 2, 1.0}, 0, serviceTimes, 2.0).totalMs();
    cr_assert_eq(slowedDownMs, usualMs);
}

Test(backend_choice_by_load, counts_requests_sent_since_report)
{
    backend_candidate busy = candidateWithReport(0, 0, 1.0);
    busy.sentSinceReport = 2;
    cr_assert_eq(chosenIndex({busy, candidateWithReport(1, 0, 1.0)}, lookupRequest()), 1);
}

TestSuite(backend_choice_costs);

Test(backend_choice_costs, avoids_server_with_high_failure_rate)
{
    backend_candidate failing = candidateWithReport(0, 0, 1.0);
    failing.failureRate = 0.5;
    cr_assert_eq(chosenIndex({failing, candidateWithReport(1, 1, 1.0)}, lookupRequest()), 1);
}

Test(backend_choice_costs, crosses_zones_only_for_clear_gain)
{
    backend_candidate otherZone = candidateWithReport(0, 0, 1.0);
    otherZone.sameZone = false;
    cr_assert_eq(chosenIndex({otherZone, candidateWithReport(1, 0, 1.0)}, lookupRequest()), 1);
    cr_assert_eq(chosenIndex({otherZone, candidateWithReport(2, 2, 1.0)}, lookupRequest()), 0);
}

Test(backend_choice_costs, avoids_server_that_is_warming_up)
{
    backend_candidate warming = candidateWithReport(0, 0, 1.0);
    warming.warmingUp = true;
    cr_assert_eq(chosenIndex({warming, candidateWithReport(1, 0, 1.0)}, lookupRequest()), 1);
}

TestSuite(admission_without_measurements);

Test(admission_without_measurements, admits_first_request_with_deadline_below_objective)
{
    random_source random(1);
    constexpr double latencyObjectiveMs = 1200;
    constexpr double remainingMs = 300;
    const double serviceTimeMs = initialServiceTimeMs(latencyObjectiveMs, remainingMs);
    const choice_request request{{serviceTimeMs, serviceTimeMs}, latencyObjectiveMs, remainingMs, 2.0};
    const auto choice = chooseBackend(std::vector{candidateWithReport(1, 0, 1.0)}, request, random);
    cr_assert(admit(choice, request, 2, 1, random).admitted);
}

TestSuite(admission_under_overload);

Test(admission_under_overload, rejects_request_that_would_miss_deadline)
{
    random_source random(1);
    const backend_choice late{0, 900.0, false};
    const admission_decision decision = admit(late, lookupRequest(), 1, 1, random);
    cr_assert_not(decision.admitted);
    cr_assert_gt(decision.retryAfter.count(), 0);
    cr_assert_leq(decision.retryAfter.count(), 160);
}

Test(admission_under_overload, rejects_lower_priority_first)
{
    random_source random(1);
    const backend_choice late{0, 300.0, false};
    cr_assert_not(admit(late, lookupRequest(), 2, 1, random).admitted);
    cr_assert(admit(late, lookupRequest(), 1, 1, random).admitted);
}

Test(admission_under_overload, admits_any_priority_with_free_slot)
{
    random_source random(1);
    cr_assert(admit(backend_choice{0, 300.0, true}, lookupRequest(), 2, 1, random).admitted);
}

Test(admission_under_overload, retry_delay_has_jitter)
{
    random_source random(1);
    std::vector<std::int64_t> delays;
    for (int i = 0; i < 20; ++i) {
        delays.push_back(
            admit(backend_choice{0, 560.0, false}, {{60, 60}, 500, 550, 1}, 1, 1, random).retryAfter.count());
    }
    cr_assert_gt(*std::ranges::max_element(delays) - *std::ranges::min_element(delays), 10);
}

TestSuite(return_of_callers_after_a_pause);

Test(return_of_callers_after_a_pause, most_urgent_callers_return_first_and_all_are_spread)
{
    constexpr milliseconds untilEnd{1500};
    random_source random{7};
    milliseconds firstUrgent{milliseconds::max()};
    milliseconds lastUrgent{0};
    milliseconds firstOther{milliseconds::max()};
    for (int i = 0; i < 200; ++i) {
        const milliseconds urgent = retryDelayAfterPause(untilEnd, 1, 1, random);
        firstUrgent = std::min(firstUrgent, urgent);
        lastUrgent = std::max(lastUrgent, urgent);
        firstOther = std::min(firstOther, retryDelayAfterPause(untilEnd, 3, 1, random));
    }
    cr_assert_geq(firstUrgent, untilEnd);
    cr_assert_gt(lastUrgent - firstUrgent, milliseconds(100));
    cr_assert_leq(lastUrgent, firstOther);
}

// Guards against callers that return together after a zone was evacuated: their deadlines limit the delay to one value.
Test(admission_under_overload, delays_limited_by_the_deadline_are_spread)
{
    random_source random(7);
    const milliseconds limited{660};
    milliseconds shortest = limited;
    milliseconds longest{0};
    for (int i = 0; i < 100; ++i) {
        const milliseconds delay = spreadRetryDelay(limited, random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    cr_assert_geq(shortest, limited / 2);
    cr_assert_leq(longest, limited);
    cr_assert_gt(longest - shortest, limited / 3);
    cr_assert_eq(spreadRetryDelay(milliseconds(0), random), milliseconds(1));
}
