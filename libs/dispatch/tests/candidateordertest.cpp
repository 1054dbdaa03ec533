#include "cardamomdeck/dispatch/candidateorder.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

using namespace cardamomdeck;

namespace {

/**
 * Returns the servers that @p entry probes in a number of @p requests, when it
 * probes the first five of the @p servers in its order for each of them.
 */
std::set<std::size_t> probedBackends(const std::string &entry, int servers, int requests, random_source &random)
{
    constexpr std::size_t probes = 5;
    std::vector<candidate_rank> candidates;
    for (int i = 0; i < servers; ++i) {
        candidates.push_back({rendezvousScore(entry, "s" + std::to_string(i)), false});
    }
    std::set<std::size_t> probed;
    for (int i = 0; i < requests; ++i) {
        const auto order = orderCandidates(candidates, random);
        probed.insert(order.begin(), order.begin() + probes);
    }
    return probed;
}

}

TestSuite(candidate_order);

Test(candidate_order, entry_uses_only_its_subset)
{
    random_source random(1);
    cr_assert_eq(probedBackends("e1", 41, 200, random).size(), backendSubsetSize);
}

Test(candidate_order, subsets_cover_all_servers)
{
    random_source random(1);
    std::vector<int> covered(41, 0);
    for (int entry = 0; entry < 40; ++entry) {
        for (const std::size_t server : probedBackends("e" + std::to_string(entry), 41, 50, random)) {
            ++covered[server];
        }
    }
    cr_assert_geq(*std::ranges::min_element(covered), 1);
}

Test(candidate_order, suspect_servers_come_last)
{
    random_source random(1);
    std::vector<candidate_rank> candidates(10);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i] = {i, i < 3};
    }
    const auto order = orderCandidates(candidates, random);
    for (std::size_t i = 7; i < order.size(); ++i) {
        cr_assert_lt(order[i], 3);
    }
}
