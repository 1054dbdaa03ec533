/**
 * @file
 * Generates traces modeled on the users' deployments, deterministically from a seed.
 */
#pragma once

#include "cardamomdeck/replay/trace.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cardamomdeck {

/** Fault that a trace contains. */
enum class trace_scenario {
    shifting_load, /**< Noisy neighbors slow single backend servers for several milliseconds, as in all scenarios. */
    stragglers, /**< Two backend servers become ten times slower for half of the trace. */
    stale_reports, /**< Load reports are 200 ms old, and three backend servers always report that they are idle. */
    fast_fail, /**< One backend server fails every request at once for half of the trace. */
    overload, /**< For half of the trace, the offered load exceeds the capacity of the backend servers. */
};

/** A scenario and its name. */
struct scenario_info
{
    trace_scenario scenario;
    std::string_view name;
};

/** Returns all scenarios with their names. */
std::span<const scenario_info> scenarioTable();

/** Properties of a service of one of the users. */
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

/** Returns the profiles of the four services of the users. */
std::span<const deployment_profile> profileTable();

/** Parameters of a generated trace. */
struct trace_parameters
{
    deployment_profile profile;
    trace_scenario scenario = trace_scenario::shifting_load;
    /** Offered load as a share of the capacity of all slots. */
    double offeredLoad = 0.7;
    milliseconds length{2000};
    std::uint64_t seed = 1;
};

/** Generates a trace. Deterministic: equal parameters give equal traces. */
recorded_trace generateTrace(const trace_parameters &parameters);

}
