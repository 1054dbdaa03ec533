/**
 * @file
 * Replays generated traces with the proposed policies and the baselines, and prints a table of the results.
 */
#include "cardamomdeck/replay/replayrun.h"
#include "cardamomdeck/replay/tracegenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

ABSL_FLAG(std::string, output, "", "File to write the table to, in addition to standard output.");
ABSL_FLAG(std::string, only, "", "Replay only traces whose name contains this text.");
ABSL_FLAG(std::int64_t, length_ms, 8000, "Duration of each trace in milliseconds.");
ABSL_FLAG(std::uint64_t, seed, 20261204, "Seed of the traces and the policies.");

namespace cardamomdeck {

namespace {

constexpr std::array<double, 3> loads = {0.5, 0.7, 0.85};

constexpr const char *tableHeader
    = "| trace | policy | p50 ms | p99 ms | p99.9 ms | attempts per request | probes per request | most probes of a "
      "back "
      "end in 10 s | failed % | refused or unknown % | doubled |\n|---|---|---|---|---|---|---|---|---|---|---|\n";

std::string formatRow(const std::string &trace, const replay_policy &policy, const replay_result &result)
{
    char text[256];
    const double requests = static_cast<double>(result.requests);
    std::snprintf(text,
                  sizeof text,
                  "| %-38s | %-19s | %7.2f | %7.2f | %7.2f | %5.2f | %6.4f | %5lu | %6.3f | %6.3f | %lu |\n",
                  trace.c_str(),
                  policy.name.c_str(),
                  result.latencyMs(0.5),
                  result.latencyMs(0.99),
                  result.latencyMs(0.999),
                  static_cast<double>(result.attempts) / requests,
                  static_cast<double>(result.probes) / requests,
                  result.maxProbesInWindow,
                  100.0 * static_cast<double>(result.failures) / requests,
                  100.0 * static_cast<double>(result.notRun + result.unknown) / requests,
                  result.duplicateExecutions);
    return text;
}

/** Replays one trace with each policy; prints each row when it is complete, and returns all rows. */
std::string measureTrace(const trace_parameters &parameters, const std::string &name)
{
    std::string rows;
    const recorded_trace trace = generateTrace(parameters);
    for (const replay_policy &policy : benchmarkPolicies()) {
        const std::string line = formatRow(name, policy, replay(trace, policy, parameters.seed));
        std::fputs(line.c_str(), stdout);
        std::fflush(stdout);
        rows += line;
    }
    return rows;
}

/** Replays the traces of one service: all scenarios at all loads. */
std::string measureProfile(const deployment_profile &profile)
{
    std::string rows;
    for (const scenario_info &scenario : scenarioTable()) {
        for (const double load : loads) {
            const std::string percent = std::to_string(static_cast<int>(load * 100)) + "%";
            const std::string name = std::string(profile.name) + " " + std::string(scenario.name) + " " + percent;
            if (name.find(absl::GetFlag(FLAGS_only)) == std::string::npos) {
                continue;
            }
            const milliseconds length(absl::GetFlag(FLAGS_length_ms));
            rows += measureTrace({profile, scenario.scenario, load, length, absl::GetFlag(FLAGS_seed)}, name);
        }
    }
    return rows;
}

int runBenchmark(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::string table = tableHeader;
    std::fputs(tableHeader, stdout);
    for (const deployment_profile &profile : profileTable()) {
        table += measureProfile(profile);
    }
    if (const std::string output = absl::GetFlag(FLAGS_output); !output.empty()) {
        std::ofstream(output) << table;
    }
    return 0;
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::runBenchmark(argc, argv);
}
