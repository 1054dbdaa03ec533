#include "cardamomdeck/quota/issuerorder.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace cardamomdeck;

TestSuite(issuer_order);

namespace {

std::vector<fleet_member> makeFleet(std::size_t entries)
{
    std::vector<fleet_member> fleet;
    for (std::size_t number = 0; number < entries; ++number) {
        fleet.push_back({"e" + std::to_string(number), "zone", "", 1, true, false, static_cast<std::uint32_t>(number)});
    }
    return fleet;
}

}

Test(issuer_order, candidates_are_the_first_entries_by_rank)
{
    const issuer_order order(makeFleet(20));
    cr_assert(order.candidates() == std::vector<std::string>({"e19", "e18", "e17", "e16"}));
    cr_assert_eq(order.nearCandidates().size(), issuer_order::nearCandidateCount);
    cr_assert(order.isCandidate("e16"));
    cr_assert_not(order.isCandidate("e15"));
}

// An entry that starts or leaves has no limits, or loses its buckets soon.
Test(issuer_order, entries_that_start_or_leave_are_no_candidates)
{
    std::vector<fleet_member> fleet = makeFleet(20);
    fleet[19].ready = false;
    fleet[18].shuttingDown = true;
    cr_assert(issuer_order(fleet).candidates() == std::vector<std::string>({"e17", "e16", "e15", "e14"}));
}

Test(issuer_order, workspaces_are_spread_over_the_candidates)
{
    const issuer_order order(makeFleet(20));
    std::map<std::string, int> firsts;
    for (int number = 0; number < 400; ++number) {
        ++firsts[order.orderFor("w" + std::to_string(number)).front()];
    }
    cr_assert_eq(firsts.size(), issuer_order::candidateCount);
    for (const auto &[entry, count] : firsts) {
        cr_assert_geq(count, 60, "%s is first for %d", entry.c_str(), count);
    }
}

// A failure of one issuer must not move the workspaces of the others.
Test(issuer_order, remaining_candidates_keep_their_order)
{
    std::vector<fleet_member> fleet = makeFleet(20);
    const issuer_order before(fleet);
    fleet.erase(fleet.begin() + 18);
    const issuer_order after(fleet);
    for (int number = 0; number < 100; ++number) {
        const std::string workspace = "w" + std::to_string(number);
        std::vector<std::string> expected = before.orderFor(workspace);
        std::erase(expected, "e18");
        std::vector<std::string> actual = after.orderFor(workspace);
        std::erase(actual, "e15");
        cr_assert(actual == expected);
    }
}
