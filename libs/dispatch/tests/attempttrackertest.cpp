#include "cardamomdeck/dispatch/attempttracker.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

TestSuite(attempt_tracker);

// Guards against a retry that gets the number of an attempt in flight: the end of one removed both.
Test(attempt_tracker, retry_after_failed_connect_gets_its_own_number)
{
    attempt_tracker attempts(2);
    cr_assert(attempts.tryReserve());
    const auto connecting = attempts.start();
    cr_assert(attempts.tryReserve());
    const auto hedge = attempts.start();
    attempts.cancelUnsent();
    cr_assert(attempts.tryReserve());
    const auto retry = attempts.start();
    cr_assert_neq(connecting, hedge);
    cr_assert_neq(retry, hedge);
    cr_assert_neq(retry, connecting);
    cr_assert_eq(attempts.started(), 2);
}

// Guards against a third attempt of two: a failure arrived while the server of the hedge was being chosen.
Test(attempt_tracker, attempt_whose_server_is_being_chosen_counts)
{
    attempt_tracker attempts(2);
    cr_assert(attempts.tryReserve());
    attempts.start();
    cr_assert(attempts.tryReserve());
    cr_assert(attempts.hasReservation());
    cr_assert_not(attempts.tryReserve());
    attempts.start();
    cr_assert_not(attempts.hasReservation());
    cr_assert_not(attempts.tryReserve());
}

Test(attempt_tracker, attempt_without_a_server_can_be_made_later)
{
    attempt_tracker attempts(1);
    cr_assert(attempts.tryReserve());
    attempts.releaseReservation();
    cr_assert_not(attempts.hasReservation());
    cr_assert(attempts.tryReserve());
    attempts.start();
    cr_assert_eq(attempts.started(), 1);
}
