#include "cardamomdeck/routing/requestplan.h"

#include "cardamomdeck/base/randomsource.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

const time_point start{seconds(1000)};
const time_point deadline = start + seconds(2);

const attempt_result refused{result_code::ok, true, 503, true, false};
const attempt_result connectFailed{result_code::connect_failed, false, 0, false, false};
const attempt_result timedOut{result_code::deadline_passed, true, 0, false, false};
const attempt_result truncatedResponse{result_code::answer_cut, true, 0, false, false};
const attempt_result serverError{result_code::ok, true, 500, false, false};
const attempt_result succeeded{result_code::ok, true, 200, false, false};

attempt_budget fullBudget()
{
    attempt_budget budget(100);
    for (int i = 0; i < 20; ++i) {
        budget.requestArrived();
    }
    return budget;
}

}

Test(outcome, not_run_requires_no_bytes_sent_or_refusal)
{
    cr_assert(outcomeOf(refused) == outcome::not_run);
    cr_assert(outcomeOf(connectFailed) == outcome::not_run);
    cr_assert(outcomeOf(timedOut) == outcome::unknown);
    cr_assert(outcomeOf(truncatedResponse) == outcome::unknown);
    cr_assert(outcomeOf(serverError) == outcome::answered);
    cr_assert(outcomeOf(succeeded) == outcome::answered);
}

Test(request_plan, non_idempotent_request_is_retried_only_after_not_run)
{
    for (const attempt_result &result : {timedOut, truncatedResponse, serverError}) {
        attempt_budget retryBudget = fullBudget();
        attempt_budget hedgeBudget = fullBudget();
        request_plan plan({false, false, deadline}, retryBudget, hedgeBudget);
        plan.attemptStarted();
        cr_assert(not plan.tryAcquireHedge(start));
        cr_assert(plan.attemptEnded(result, start) != retry_decision::retry);
    }
    for (const attempt_result &result : {refused, connectFailed}) {
        attempt_budget retryBudget = fullBudget();
        attempt_budget hedgeBudget = fullBudget();
        request_plan plan({false, false, deadline}, retryBudget, hedgeBudget);
        plan.attemptStarted();
        cr_assert(plan.attemptEnded(result, start) == retry_decision::retry);
    }
}

Test(request_plan, unknown_outcome_persists_after_later_refusal)
{
    attempt_budget retryBudget = fullBudget();
    attempt_budget hedgeBudget = fullBudget();
    request_plan plan({true, false, deadline}, retryBudget, hedgeBudget);
    plan.attemptStarted();
    cr_assert(plan.attemptEnded(timedOut, start) == retry_decision::retry);
    plan.attemptStarted();
    cr_assert(plan.attemptEnded(refused, deadline) == retry_decision::give_up);
    cr_assert(infoOf(plan.finalCode()).requestOutcome == outcome::unknown);
}

Test(request_plan, retries_do_not_multiply_along_call_chain)
{
    attempt_budget retryBudget = fullBudget();
    attempt_budget hedgeBudget = fullBudget();
    request_plan planForCallerRetry({true, true, deadline}, retryBudget, hedgeBudget);
    planForCallerRetry.attemptStarted();
    cr_assert(not planForCallerRetry.tryAcquireHedge(start));
    cr_assert(planForCallerRetry.attemptEnded(connectFailed, start) == retry_decision::give_up);

    request_plan planAfterBackendRetry({true, false, deadline}, retryBudget, hedgeBudget);
    planAfterBackendRetry.attemptStarted();
    attempt_result retriedResult = serverError;
    retriedResult.retriedByBackend = true;
    cr_assert(planAfterBackendRetry.attemptEnded(retriedResult, start) == retry_decision::answer);
}

Test(attempt_budget, extra_attempts_stay_a_share_of_the_requests)
{
    attempt_budget budget(10);
    cr_assert(not budget.tryAcquire(), "a new budget is empty");
    unsigned acquired = 0;
    constexpr unsigned requests = 10'000;
    for (unsigned i = 0; i < requests; ++i) {
        budget.requestArrived();
        acquired += budget.tryAcquire() ? 1 : 0;
    }
    cr_assert(acquired <= requests / 10);
    cr_assert(acquired >= requests / 10 - 1);
}

Test(request_plan, non_idempotent_request_runs_at_most_once)
{
    constexpr unsigned iterations = 20'000;
    random_source random(11);
    attempt_budget retryBudget = fullBudget();
    attempt_budget hedgeBudget = fullBudget();
    const attempt_result results[] = {refused, connectFailed, timedOut, truncatedResponse, serverError, succeeded};
    for (unsigned i = 0; i < iterations; ++i) {
        request_plan plan({false, false, deadline}, retryBudget, hedgeBudget);
        unsigned mayHaveRun = 0;
        retry_decision decision = retry_decision::retry;
        while (decision == retry_decision::retry) {
            plan.attemptStarted();
            const attempt_result &result = results[randomIndex(random, std::size(results))];
            mayHaveRun += outcomeOf(result) == outcome::not_run ? 0 : 1;
            decision = plan.attemptEnded(result, start);
        }
        cr_assert(mayHaveRun <= 1);
        if (decision == retry_decision::give_up) {
            const bool reportedNotRun = infoOf(plan.finalCode()).requestOutcome == outcome::not_run;
            cr_assert(reportedNotRun == (mayHaveRun == 0));
        }
    }
}
