#include "cardamomdeck/routing/choicestrategy.h"

#include <algorithm>
#include <array>

namespace cardamomdeck {

namespace {

/** Ratio to the typical latency up to which a backend server does not count as slow. */
constexpr double maxNormalLatencyRatio = 2.0;

std::size_t chooseRandom(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return randomIndex(context.random, candidates.size());
}

std::size_t chooseRoundRobin(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return static_cast<std::size_t>(context.requestIndex % candidates.size());
}

/** Returns the index of the candidate with the lowest cost; a random start of the search breaks ties at random. */
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

/** Returns the slowdown of @p candidate relative to the typical latency; normal variation counts as 1. */
double slowdownOf(const backend_stats &candidate, const choice_context &context)
{
    const double ratio = candidate.expectedServiceMs(context.now, context.typicalLatencyMs) / context.typicalLatencyMs;
    return std::max(1.0, ratio / maxNormalLatencyRatio);
}

std::size_t chooseLoadAware(std::span<backend_stats *const> candidates, const choice_context &context)
{
    const double zonePenaltyMs = toMilliseconds(context.service.zonePenalty);
    // Load reports of single servers are not used: entries with the same stale report would all choose the same server.
    return chooseLeastCost(candidates, context, [&](const backend_stats &candidate) {
        const double queueLength = 1.0 + candidate.inFlight();
        const double zoneCostMs = candidate.isCrossZone() ? zonePenaltyMs : 0.0;
        return context.typicalLatencyMs * slowdownOf(candidate, context) * queueLength
                   * candidate.warmUpFactor(context.now)
               + zoneCostMs;
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
