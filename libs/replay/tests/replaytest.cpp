#include "cardamomdeck/replay/replayrun.h"
#include "cardamomdeck/replay/tracegenerator.h"

#include "cardamomdeck/base/randomsource.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

using namespace cardamomdeck;
namespace leaf = boost::leaf;

namespace {

constexpr std::uint64_t policySeed = 7;
constexpr std::uint64_t maxProbesPerTenSeconds = 160;

std::optional<recorded_trace> decode(const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<recorded_trace>> {
            BOOST_LEAF_AUTO(trace, decodeTrace(text));
            return trace;
        },
        [] { return std::optional<recorded_trace>(); });
}

recorded_trace loadTrace(const std::string &name)
{
    std::ifstream file(std::string(TRACE_DIRECTORY) + "/" + name + ".trace");
    const auto trace = decode(std::string(std::istreambuf_iterator<char>(file), {}));
    cr_assert(trace.has_value(), "%s", name.c_str());
    return *trace;
}

replay_policy findPolicy(const std::string &name)
{
    for (const replay_policy &policy : benchmarkPolicies()) {
        if (policy.name == name) {
            replay_policy found = policy;
            found.service.maxProbesPerTenSeconds
                = std::min<std::uint32_t>(policy.service.maxProbesPerTenSeconds, maxProbesPerTenSeconds);
            return found;
        }
    }
    cr_assert_fail("no such policy");
    return {};
}

/** Checks the invariants that hold in each replay, independent of the policy. */
void checkInvariants(const std::string &name, const replay_result &result)
{
    cr_assert_eq(result.duplicateExecutions, 0U, "%s: a non-idempotent request ran twice", name.c_str());
    cr_assert(
        result.maxProbesInWindow <= maxProbesPerTenSeconds, "%s: %lu probes", name.c_str(), result.maxProbesInWindow);
    cr_assert_eq(
        result.answered + result.notRun + result.unknown, result.requests, "%s: an outcome is missing", name.c_str());
}

void checkBeatsBaselines(const std::string &traceName)
{
    const recorded_trace trace = loadTrace(traceName);
    for (const char *proposed : {"load_aware_tail", "load_aware_cheap"}) {
        const replay_result proposedResult = replay(trace, findPolicy(proposed), policySeed);
        checkInvariants(traceName, proposedResult);
        for (const char *baseline : {"random", "round_robin", "least_in_flight", "least_reported"}) {
            const replay_result baselineResult = replay(trace, findPolicy(baseline), policySeed);
            checkInvariants(traceName, baselineResult);
            cr_assert(proposedResult.latencyMs(0.99) < baselineResult.latencyMs(0.99),
                      "%s: %s has a p99 of %.1f ms, %s one of %.1f ms",
                      traceName.c_str(),
                      proposed,
                      proposedResult.latencyMs(0.99),
                      baseline,
                      baselineResult.latencyMs(0.99));
        }
    }
}

}

Test(replay, p99_is_below_baselines_for_mill_lot_registry)
{
    checkBeatsBaselines("mill_lot_registry_stragglers");
    checkBeatsBaselines("mill_lot_registry_stale_reports");
    checkBeatsBaselines("mill_lot_registry_fast_fail");
}

Test(replay, p99_is_below_baselines_for_accra_dispatch)
{
    checkBeatsBaselines("accra_dispatch_stragglers");
    checkBeatsBaselines("accra_dispatch_stale_reports");
    checkBeatsBaselines("accra_dispatch_fast_fail");
}

Test(replay, overload_keeps_attempt_budget_without_duplicate_executions)
{
    for (const char *name : {"mill_lot_registry_overload", "accra_dispatch_overload"}) {
        const recorded_trace trace = loadTrace(name);
        for (const replay_policy &policy : benchmarkPolicies()) {
            const replay_result result = replay(trace, policy, policySeed);
            checkInvariants(name, result);
            const std::uint64_t extra = result.attempts - result.requests;
            const std::uint64_t allowed
                = (policy.service.retryPercent + policy.service.hedgePercent) * result.requests / 100;
            cr_assert(extra <= allowed, "%s %s: %lu extra attempts", name, policy.name.c_str(), extra);
        }
    }
}

Test(replay, is_deterministic)
{
    const recorded_trace trace = loadTrace("mill_lot_registry_stragglers");
    const replay_result first = replay(trace, findPolicy("load_aware_tail"), policySeed);
    const replay_result second = replay(trace, findPolicy("load_aware_tail"), policySeed);
    cr_assert(first.latenciesMs == second.latenciesMs);
    cr_assert_eq(first.probes, second.probes);
}

Test(trace, round_trip_preserves_trace)
{
    const trace_parameters parameters = {profileTable()[0], trace_scenario::fast_fail, 0.5, milliseconds(100), 3};
    const recorded_trace trace = generateTrace(parameters);
    cr_assert(decode(encodeTrace(trace)) == trace);
    cr_assert(generateTrace(parameters) == trace);
}

Test(trace, corrupt_input_is_rejected)
{
    const trace_parameters parameters = {profileTable()[0], trace_scenario::fast_fail, 0.5, milliseconds(20), 3};
    const std::string valid = encodeTrace(generateTrace(parameters));
    random_source random(9);
    for (unsigned i = 0; i < 2000; ++i) {
        std::string text = valid;
        text[randomIndex(random, text.size())] = static_cast<char>(random());
        text.resize(randomIndex(random, text.size() + 1));
        decode(text);
    }
    cr_assert(not decode("").has_value());
    cr_assert(not decode("{}").has_value());
    const std::string header = valid.substr(0, valid.find('\n') + 1);
    cr_assert(not decode(header + "[\"r\",0,99,1,true]\n").has_value());
    cr_assert(not decode(header + "[\"b\",0,0,1,7]\n").has_value());
}
