/**
 * @file
 * Load balancing strategies, which choose one of several usable backend servers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/model/resource.h"
#include "cardamomdeck/routing/backendstats.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cardamomdeck {

/** Input of a strategy besides the candidates. */
struct choice_context
{
    const service_spec &service;
    time_point now;
    /** Typical latency of the service's responses, in milliseconds. */
    double typicalLatencyMs;
    random_source &random;
    /** Sequence number of the choice, for round robin. */
    std::uint64_t requestIndex;
};

/** Entry of the strategy table. */
struct choice_strategy
{
    std::string_view name;
    /** Returns the index of the chosen candidate; @p candidates is never empty. */
    std::size_t (*choose)(std::span<backend_stats *const> candidates, const choice_context &context);
};

/** Returns all strategies; the service setting "strategy" names one of them. */
std::span<const choice_strategy> strategyTable();

/** Returns the strategy called @p name, or the first one of the table if the name is unknown. */
const choice_strategy &findStrategy(std::string_view name);

}
