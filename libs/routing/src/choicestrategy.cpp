#include "cardamomdeck/routing/choicestrategy.h"

#include <algorithm>
#include <array>

namespace cardamomdeck {

namespace {

/** Ratio to the typical latency up to which a back end does not count as slow. */
constexpr double maxNormalLatencyRatio = 2.0;

std::size_t chooseRandom(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return randomIndex(context.random, candidates.size());
}

std::size_t chooseRoundRobin(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return static_cast<std::size_t>(context.requestIndex % candidates.size());
}

/** Index of the candidate with the least cost; the first one is random, so that equal costs are spread. */
template<typename cost_function>
std::size_t
chooseLeastCost(std::span<backend_stats *const> candidates, const choice_context &context, const cost_function &costOf)
{
    const std::size_t offset = randomIndex(context.random, candidates.size());
    std::size_t best = offset;
    double bestCost = costOf(*candidates[offset]);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const std::size_t index = (offset + i) % candidates.size();
        const double cost = costOf(*candidates[index]);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

std::size_t chooseLeastInFlight(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return chooseLeastCost(candidates, context, [](const backend_stats &candidate) { return candidate.inFlight(); });
}

std::size_t chooseLeastReported(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return chooseLeastCost(candidates, context, [&](const backend_stats &candidate) {
        return candidate.inFlight() + candidate.otherEntriesLoad(context.now);
    });
}

/** How much slower @p candidate is than usual; ordinary variation counts as 1. */
double slowdownOf(const backend_stats &candidate, const choice_context &context)
{
    const double ratio = candidate.expectedServiceMs(context.now, context.typicalLatencyMs) / context.typicalLatencyMs;
    return std::max(1.0, ratio / maxNormalLatencyRatio);
}

std::size_t chooseLoadAware(std::span<backend_stats *const> candidates, const choice_context &context)
{
    const double zoneMs = toMilliseconds(context.service.zonePenalty);
    // Reports of single back ends are left out: entries that read the same late report all choose the same back end.
    return chooseLeastCost(candidates, context, [&](const backend_stats &candidate) {
        const double rounds = 1.0 + candidate.inFlight();
        const double zone = candidate.isCrossZone() ? zoneMs : 0.0;
        return context.typicalLatencyMs * slowdownOf(candidate, context) * rounds * candidate.warmUpFactor(context.now)
               + zone;
    });
}

constexpr std::array<choice_strategy, 5> strategies = {{{"load_aware", &chooseLoadAware},
                                                        {"least_in_flight", &chooseLeastInFlight},
                                                        {"least_reported", &chooseLeastReported},
                                                        {"round_robin", &chooseRoundRobin},
                                                        {"random", &chooseRandom}}};

}

std::span<const choice_strategy> strategyTable()
{
    return strategies;
}

const choice_strategy &findStrategy(std::string_view name)
{
    const auto *const found = std::ranges::find(strategies, name, &choice_strategy::name);
    return found == strategies.end() ? strategies.front() : *found;
}

}
