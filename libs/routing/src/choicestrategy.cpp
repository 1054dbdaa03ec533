#include "cardamomdeck/routing/choicestrategy.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cardamomdeck {

namespace {

/** Candidates that the load-aware strategy compares. */
constexpr std::size_t sampleSize = 6;

std::size_t chooseRandom(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return randomIndex(context.random, candidates.size());
}

std::size_t chooseRoundRobin(std::span<backend_stats *const> candidates, const choice_context &context)
{
    return static_cast<std::size_t>(context.turn % candidates.size());
}

std::size_t chooseLeastInFlight(std::span<backend_stats *const> candidates, const choice_context &context)
{
    const std::size_t offset = randomIndex(context.random, candidates.size());
    std::size_t best = offset;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const std::size_t index = (offset + i) % candidates.size();
        if (candidates[index]->inFlight() < candidates[best]->inFlight()) {
            best = index;
        }
    }
    return best;
}

/** Expected time to an answer from @p candidate, in milliseconds. */
double expectedLatencyMs(const backend_stats &candidate, const choice_context &context)
{
    const double service = candidate.expectedServiceMs(context.now, context.typicalMs);
    const double held = candidate.inFlight() + candidate.otherLoad(context.now);
    const double rounds = 1.0 + held / context.service.slotsPerBackend;
    const double zone = candidate.crossZone() ? toMilliseconds(context.service.zonePenalty) : 0.0;
    return service * rounds * candidate.coldFactor(context.now) + zone;
}

std::size_t chooseLoadAware(std::span<backend_stats *const> candidates, const choice_context &context)
{
    const std::size_t offset = randomIndex(context.random, candidates.size());
    // A stride that is odd and random keeps entries with like views from comparing the same candidates.
    const std::size_t samples = std::min(sampleSize, candidates.size());
    std::size_t best = offset;
    double bestLatency = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < samples; ++i) {
        const bool all = samples == candidates.size();
        const std::size_t index
            = all ? (offset + i) % candidates.size() : randomIndex(context.random, candidates.size());
        const double latency = expectedLatencyMs(*candidates[index], context);
        if (latency < bestLatency) {
            best = index;
            bestLatency = latency;
        }
    }
    return best;
}

constexpr std::array<choice_strategy, 4> strategies = {{{"load_aware", &chooseLoadAware},
                                                        {"least_in_flight", &chooseLeastInFlight},
                                                        {"round_robin", &chooseRoundRobin},
                                                        {"random", &chooseRandom}}};

}

std::span<const choice_strategy> strategyTable()
{
    return strategies;
}

const choice_strategy &strategyNamed(std::string_view name)
{
    const auto *const found = std::ranges::find(strategies, name, &choice_strategy::name);
    return found == strategies.end() ? strategies.front() : *found;
}

}
