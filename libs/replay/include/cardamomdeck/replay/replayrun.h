/**
 * @file
 * Simulates a recorded trace with the load balancing classes of the daemon.
 */
#pragma once

#include "cardamomdeck/model/resource.h"
#include "cardamomdeck/replay/trace.h"
#include "cardamomdeck/routing/balancer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomdeck {

/** A load balancing policy under test. */
struct replay_policy
{
    std::string name;
    /** Strategy, budgets and limits; the name and the slots per backend server are set from the trace. */
    service_spec service;
    ejection_mode ejection = ejection_mode::on;
};

/** Result of a replay. */
struct replay_result
{
    /**
     * Latencies at the entry in milliseconds, ascending. A request that failed, was
     * refused or has an unknown outcome counts with the time from its arrival to its deadline.
     */
    std::vector<double> latenciesMs;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    /** Responses that report a server failure; included in answered. */
    std::uint64_t failures = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t attempts = 0;
    std::uint64_t probes = 0;
    /** Highest number of probes to one backend server in any ten seconds, or in the whole trace if it is shorter. */
    std::uint64_t maxProbesInWindow = 0;
    /** Repeated executions of non-idempotent requests. */
    std::uint64_t duplicateExecutions = 0;

    /** Returns the latency at @p quantile, in milliseconds; 0 without requests. */
    double latencyMs(double quantile) const;
};

/** Replays @p trace with @p policy. Deterministic: equal arguments give equal results. */
replay_result replay(const recorded_trace &trace, const replay_policy &policy, std::uint64_t seed);

/** Returns the policies that the benchmark compares: the proposed ones and variants of them, then the baselines. */
std::vector<replay_policy> benchmarkPolicies();

}
