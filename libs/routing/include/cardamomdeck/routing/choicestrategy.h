/**
 * @file
 * Strategies that choose one of several usable back ends.
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

/** What a strategy may look at besides the candidates. */
struct choice_context
{
    const service_spec &service;
    time_point now;
    /** Typical latency of an answer of the service, in milliseconds. */
    double typicalLatencyMs;
    random_source &random;
    /** Counts requests, for strategies that take turns. */
    std::uint64_t requestIndex;
};

/** A row of the strategy table. */
struct choice_strategy
{
    std::string_view name;
    /** Index of the chosen candidate; @p candidates is never empty. */
    std::size_t (*choose)(std::span<backend_stats *const> candidates, const choice_context &context);
};

/** All strategies; the service setting "strategy" names one of them. */
std::span<const choice_strategy> strategyTable();

/** The strategy called @p name, or the first of the table. */
const choice_strategy &findStrategy(std::string_view name);

}
