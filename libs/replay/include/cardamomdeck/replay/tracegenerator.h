/**
 * @file
 * Makes traces with the shape of the users' deployments from a pinned seed.
 */
#pragma once

#include "cardamomdeck/replay/trace.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cardamomdeck {

/** What goes wrong in a trace. */
enum class trace_scenario {
    shifting_load, /**< Noisy neighbours slow single back ends for some milliseconds. */
    stragglers, /**< Two back ends turn ten times slower without warning. */
    stale_reports, /**< Load reports are 200 ms old, and three back ends report to be idle. */
    fast_fail, /**< One back end turns every request away at once. */
    overload, /**< For a part of the trace more work arrives than the back ends can do. */
};

/** All scenarios with their names. */
struct scenario_info
{
    trace_scenario scenario;
    std::string_view name;
};

/** The scenario table. */
std::span<const scenario_info> scenarioTable();

/** A service of one of the users. */
struct deployment_profile
{
    std::string_view name;
    std::uint32_t backends;
    std::uint32_t slots;
    microseconds crossZoneDelay;
    /** Mean time in a slot. */
    microseconds meanServiceTime;
    /** Share of requests that are idempotent. */
    double idempotentShare;
};

/** The four services of the brief. */
std::span<const deployment_profile> profileTable();

/** Parameters of a generated trace. */
struct trace_parameters
{
    deployment_profile profile;
    trace_scenario scenario = trace_scenario::shifting_load;
    /** Arriving work as a share of what all slots can do. */
    double offeredLoad = 0.7;
    milliseconds length{2000};
    std::uint64_t seed = 1;
};

/** The trace of @p recipe; equal recipes give equal traces. */
recorded_trace generateTrace(const trace_parameters &recipe);

}
