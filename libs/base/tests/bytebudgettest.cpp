#include "cardamomdeck/base/bytebudget.h"

#include <criterion/criterion.h>

#include <vector>

using namespace cardamomdeck;

TestSuite(messages_draw_from_a_budget);

Test(messages_draw_from_a_budget, and_give_back_at_their_end)
{
    byte_budget budget(1000);
    {
        byte_budget::lease first = budget.open();
        cr_assert(first.growTo(600));
        cr_assert(first.growTo(500));
        cr_assert_eq(budget.used(), 600);
        byte_budget::lease second = budget.open();
        cr_assert_not(second.growTo(401));
        cr_assert(second.growTo(400));
        byte_budget::lease moved = std::move(first);
        cr_assert_eq(budget.used(), 1000);
        moved = budget.open();
        cr_assert_eq(budget.used(), 400);
    }
    cr_assert_eq(budget.used(), 0);
}

Test(messages_draw_from_a_budget, one_without_a_budget_is_not_bound)
{
    byte_budget::lease lease;
    cr_assert(lease.growTo(1'000'000'000));
}

TestSuite(some_bodies_come_without_end);

Test(some_bodies_come_without_end, they_are_given_up_before_small_messages_find_no_room)
{
    constexpr std::size_t limit = 16U * 1024U * 1024U;
    byte_budget budget(limit);
    std::vector<byte_budget::lease> endless;
    for (int i = 0; i < 24; ++i) {
        endless.push_back(budget.open());
    }
    bool refused = false;
    for (std::size_t size = 0; !refused; size += byte_budget::largeMessage) {
        for (byte_budget::lease &lease : endless) {
            refused = !lease.growTo(size) || refused;
        }
    }
    byte_budget::lease small = budget.open();
    cr_assert(small.growTo(byte_budget::largeMessage));
    cr_assert_leq(budget.used(), limit);
}
