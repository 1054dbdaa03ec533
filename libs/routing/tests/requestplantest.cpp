#include "cardamomdeck/routing/requestplan.h"

#include "cardamomdeck/base/randomsource.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};
const time_point deadline = start + seconds(2);

const attempt_end refusal{result_code::ok, true, 503, true, false};
const attempt_end unconnected{result_code::connect_failed, false, 0, false, false};
const attempt_end silent{result_code::deadline_passed, true, 0, false, false};
const attempt_end cut{result_code::answer_cut, true, 0, false, false};
const attempt_end serverError{result_code::ok, true, 500, false, false};
const attempt_end good{result_code::ok, true, 200, false, false};

attempt_budget fullBudget()
{
    attempt_budget budget(100);
    for (int i = 0; i < 20; ++i) {
        budget.requestArrived();
    }
    return budget;
}

}

Test(outcome, not_run_is_said_only_without_a_byte_sent_or_by_the_back_end_itself)
{
    cr_assert(outcomeOf(refusal) == outcome::not_run);
    cr_assert(outcomeOf(unconnected) == outcome::not_run);
    cr_assert(outcomeOf(silent) == outcome::unknown);
    cr_assert(outcomeOf(cut) == outcome::unknown);
    cr_assert(outcomeOf(serverError) == outcome::answered);
    cr_assert(outcomeOf(good) == outcome::answered);
}

Test(request_plan, a_non_idempotent_request_is_repeated_only_after_not_run)
{
    for (const attempt_end &end : {silent, cut, serverError}) {
        attempt_budget retries = fullBudget();
        attempt_budget hedges = fullBudget();
        request_plan plan({false, false, deadline}, retries, hedges);
        plan.attemptStarted();
        cr_assert(not plan.takeHedge(start));
        cr_assert(plan.attemptEnded(end, start) != plan_step::retry);
    }
    for (const attempt_end &end : {refusal, unconnected}) {
        attempt_budget retries = fullBudget();
        attempt_budget hedges = fullBudget();
        request_plan plan({false, false, deadline}, retries, hedges);
        plan.attemptStarted();
        cr_assert(plan.attemptEnded(end, start) == plan_step::retry);
    }
}

Test(request_plan, an_unknown_attempt_is_never_forgotten_by_a_later_refusal)
{
    attempt_budget retries = fullBudget();
    attempt_budget hedges = fullBudget();
    request_plan plan({true, false, deadline}, retries, hedges);
    plan.attemptStarted();
    cr_assert(plan.attemptEnded(silent, start) == plan_step::retry);
    plan.attemptStarted();
    cr_assert(plan.attemptEnded(refusal, deadline) == plan_step::give_up);
    cr_assert(infoOf(plan.finalCode()).requestOutcome == outcome::unknown);
}

Test(request_plan, the_levels_of_a_deep_call_do_not_multiply_their_retries)
{
    attempt_budget retries = fullBudget();
    attempt_budget hedges = fullBudget();
    request_plan repeatedAbove({true, true, deadline}, retries, hedges);
    repeatedAbove.attemptStarted();
    cr_assert(not repeatedAbove.takeHedge(start));
    cr_assert(repeatedAbove.attemptEnded(unconnected, start) == plan_step::give_up);

    request_plan spentBelow({true, false, deadline}, retries, hedges);
    spentBelow.attemptStarted();
    attempt_end spent = serverError;
    spent.retriedBelow = true;
    cr_assert(spentBelow.attemptEnded(spent, start) == plan_step::answer);
}

Test(attempt_budget, extra_attempts_stay_a_share_of_the_requests)
{
    attempt_budget budget(10);
    cr_assert(not budget.take(), "a fresh budget holds nothing");
    unsigned taken = 0;
    constexpr unsigned requests = 10'000;
    for (unsigned i = 0; i < requests; ++i) {
        budget.requestArrived();
        taken += budget.take() ? 1 : 0;
    }
    cr_assert(taken <= requests / 10);
    cr_assert(taken >= requests / 10 - 1);
}

Test(request_plan, any_course_of_a_non_idempotent_request_runs_it_at_most_once)
{
    constexpr unsigned courses = 20'000;
    random_source random(11);
    attempt_budget retries = fullBudget();
    attempt_budget hedges = fullBudget();
    const attempt_end ends[] = {refusal, unconnected, silent, cut, serverError, good};
    for (unsigned i = 0; i < courses; ++i) {
        request_plan plan({false, false, deadline}, retries, hedges);
        unsigned mayHaveRun = 0;
        plan_step step = plan_step::retry;
        while (step == plan_step::retry) {
            plan.attemptStarted();
            const attempt_end &end = ends[randomIndex(random, std::size(ends))];
            mayHaveRun += outcomeOf(end) == outcome::not_run ? 0 : 1;
            step = plan.attemptEnded(end, start);
        }
        cr_assert(mayHaveRun <= 1);
        if (step == plan_step::give_up) {
            const bool toldNotRun = infoOf(plan.finalCode()).requestOutcome == outcome::not_run;
            cr_assert(toldNotRun == (mayHaveRun == 0));
        }
    }
}
