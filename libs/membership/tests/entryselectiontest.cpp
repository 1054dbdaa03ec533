#include "cardamomdeck/membership/entryselection.h"

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

constexpr unsigned callerCount = 3000;

}

Test(entry_selection, first_entries_are_in_different_zones)
{
    for (unsigned i = 0; i < callerCount; ++i) {
        const auto selected = selectEntries(makeMembers(15), {}, "caller-" + std::to_string(i));
        cr_assert_eq(selected.size(), maxSelectedEntries);
        cr_assert(selected[0].zone != selected[1].zone);
        cr_assert(selected[1].zone != selected[2].zone);
        cr_assert(selected[0].zone != selected[2].zone);
    }
}

Test(entry_selection, callers_are_distributed_evenly)
{
    std::map<std::string, unsigned> callersByFirstEntry;
    for (unsigned i = 0; i < callerCount; ++i) {
        ++callersByFirstEntry[selectEntries(makeMembers(15), {}, "caller-" + std::to_string(i)).front().name];
    }
    cr_assert_eq(callersByFirstEntry.size(), 15U);
    for (const auto &[name, count] : callersByFirstEntry) {
        cr_assert(
            count > callerCount / 15 * 7 / 10 && count < callerCount / 15 * 13 / 10, "%s: %u", name.c_str(), count);
    }
}

Test(entry_selection, excluding_an_entry_reassigns_only_its_callers)
{
    for (unsigned i = 0; i < callerCount; ++i) {
        const std::string caller = "caller-" + std::to_string(i);
        const auto before = selectEntries(makeMembers(15), {}, caller).front().name;
        const auto after = selectEntries(makeMembers(15), {"entry-4"}, caller).front().name;
        cr_assert(after != "entry-4");
        cr_assert(before == "entry-4" || before == after);
    }
}

Test(entry_selection, unusable_entries_are_returned_when_there_are_no_others)
{
    cr_assert_eq(selectEntries(makeMembers(1), {"entry-0"}, "caller").size(), 1U);
}
