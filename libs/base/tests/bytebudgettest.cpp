#include "cardamomdeck/base/bytebudget.h"

#include <criterion/criterion.h>

#include <vector>

using namespace cardamomdeck;

TestSuite(byte_budget_reservations);

Test(byte_budget_reservations, are_released_on_destruction)
{
    byte_budget budget(1000);
    {
        byte_budget::reservation first = budget.makeReservation();
        cr_assert(first.growTo(600));
        cr_assert(first.growTo(500));
        cr_assert_eq(budget.used(), 600);
        byte_budget::reservation second = budget.makeReservation();
        cr_assert_not(second.growTo(401));
        cr_assert(second.growTo(400));
        byte_budget::reservation moved = std::move(first);
        cr_assert_eq(budget.used(), 1000);
        moved = budget.makeReservation();
        cr_assert_eq(budget.used(), 400);
    }
    cr_assert_eq(budget.used(), 0);
}

Test(byte_budget_reservations, one_without_a_budget_is_not_bound)
{
    byte_budget::reservation lease;
    cr_assert(lease.growTo(1'000'000'000));
}

TestSuite(unbounded_bodies);

Test(unbounded_bodies, leave_memory_for_small_messages)
{
    constexpr std::size_t limit = 16U * 1024U * 1024U;
    byte_budget budget(limit);
    std::vector<byte_budget::reservation> endless;
    for (int i = 0; i < 24; ++i) {
        endless.push_back(budget.makeReservation());
    }
    bool refused = false;
    for (std::size_t size = 0; !refused; size += byte_budget::largeMessageBytes) {
        for (byte_budget::reservation &lease : endless) {
            refused = !lease.growTo(size) || refused;
        }
    }
    byte_budget::reservation small = budget.makeReservation();
    cr_assert(small.growTo(byte_budget::largeMessageBytes));
    cr_assert_leq(budget.used(), limit);
}
