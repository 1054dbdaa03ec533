/**
 * @file
 * Replays a trace through the decision classes of the daemon.
 */
#pragma once

#include "cardamomdeck/model/resource.h"
#include "cardamomdeck/replay/trace.h"
#include "cardamomdeck/routing/balancer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomdeck {

/** A policy under test. */
struct replay_policy
{
    std::string name;
    /** Strategy, budgets and limits; names and sizes are filled in from the trace. */
    service_spec service;
    ejection_mode ejection = ejection_mode::on;
};

/** What came out of a replay. */
struct replay_result
{
    /**
     * Latencies at the entry in milliseconds, ascending. A request that failed,
     * was refused or stayed unknown counts with the time to its deadline.
     */
    std::vector<double> latenciesMs;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    /** Answers that report a server failure; part of answered. */
    std::uint64_t failures = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t probes = 0;
    /** Most probes that one back end received in any window of ten seconds, or in the trace if it is shorter. */
    std::uint64_t maxProbesInWindow = 0;
    /** Non-idempotent requests that ran more than once. */
    std::uint64_t duplicateExecutions = 0;

    /** The latency at @p quantile, in milliseconds; 0 without requests. */
    double latencyMs(double quantile) const;
};

/** Replays @p trace under @p policy; equal arguments give equal results. */
replay_result replay(const recorded_trace &trace, const replay_policy &policy, std::uint64_t seed);

/** The policies that the benchmark compares, the proposed ones first. */
std::vector<replay_policy> benchmarkPolicies();

}
