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

Test(byte_budget_reservations, without_a_budget_are_unlimited)
{
    byte_budget::reservation memory;
    cr_assert(memory.growTo(1'000'000'000));
}

TestSuite(unbounded_bodies);

Test(unbounded_bodies, leave_memory_for_small_messages)
{
    constexpr std::size_t limit = 16U * 1024U * 1024U;
    byte_budget budget(limit);
    std::vector<byte_budget::reservation> endlessBodies;
    for (int i = 0; i < 24; ++i) {
        endlessBodies.push_back(budget.makeReservation());
    }
    bool rejected = false;
    for (std::size_t size = 0; !rejected; size += byte_budget::largeMessageBytes) {
        for (byte_budget::reservation &memory : endlessBodies) {
            rejected = !memory.growTo(size) || rejected;
        }
    }
    byte_budget::reservation smallMessage = budget.makeReservation();
    cr_assert(smallMessage.growTo(byte_budget::largeMessageBytes));
    cr_assert_leq(budget.used(), limit);
}
