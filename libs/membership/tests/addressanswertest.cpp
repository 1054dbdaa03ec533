#include "cardamomdeck/membership/addressanswer.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

std::map<std::string, entry_member> makeMembers(unsigned count)
{
    std::map<std::string, entry_member> members;
    for (unsigned i = 0; i < count; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        members[name]
            = {name, "zone-" + std::to_string(i % 3), 1, {"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    }
    return members;
}

constexpr unsigned callers = 3000;

}

Test(address_answer, the_first_addresses_lie_in_different_zones)
{
    for (unsigned i = 0; i < callers; ++i) {
        const auto chosen = chooseAddresses(makeMembers(15), {}, "caller-" + std::to_string(i));
        cr_assert_eq(chosen.size(), addressesInAnswer);
        cr_assert(chosen[0].zone != chosen[1].zone);
        cr_assert(chosen[1].zone != chosen[2].zone);
        cr_assert(chosen[0].zone != chosen[2].zone);
    }
}

Test(address_answer, callers_are_spread_evenly)
{
    std::map<std::string, unsigned> first;
    for (unsigned i = 0; i < callers; ++i) {
        ++first[chooseAddresses(makeMembers(15), {}, "caller-" + std::to_string(i)).front().name];
    }
    cr_assert_eq(first.size(), 15U);
    for (const auto &[name, count] : first) {
        cr_assert(count > callers / 15 * 7 / 10 && count < callers / 15 * 13 / 10, "%s: %u", name.c_str(), count);
    }
}

Test(address_answer, a_leaving_entry_moves_only_its_own_callers)
{
    for (unsigned i = 0; i < callers; ++i) {
        const std::string caller = "caller-" + std::to_string(i);
        const auto before = chooseAddresses(makeMembers(15), {}, caller).front().name;
        const auto after = chooseAddresses(makeMembers(15), {"entry-4"}, caller).front().name;
        cr_assert(after != "entry-4");
        cr_assert(before == "entry-4" || before == after);
    }
}

Test(address_answer, unusable_entries_are_better_than_none)
{
    cr_assert_eq(chooseAddresses(makeMembers(1), {"entry-0"}, "caller").size(), 1U);
}
