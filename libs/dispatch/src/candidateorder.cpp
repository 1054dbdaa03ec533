#include "cardamomdeck/dispatch/candidateorder.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>

namespace cardamomdeck {

std::size_t rendezvousScore(std::string_view entry, std::string_view backend)
{
    return std::hash<std::string>()(std::string(entry) + "/" + std::string(backend));
}

std::vector<std::size_t> orderCandidates(std::span<const candidate_rank> candidates, random_source &random)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto subsetEnd = order.begin() + static_cast<std::ptrdiff_t>(std::min(backendSubsetSize, order.size()));
    std::partial_sort(order.begin(), subsetEnd, order.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].score < candidates[b].score;
    });
    std::shuffle(order.begin(), subsetEnd, random);
    std::shuffle(subsetEnd, order.end(), random);
    std::stable_partition(order.begin(), order.end(), [&](std::size_t index) { return !candidates[index].suspect; });
    return order;
}

}
