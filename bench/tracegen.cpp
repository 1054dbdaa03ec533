/**
 * @file
 * Generates a trace and writes it to standard output.
 */
#include "cardamomdeck/replay/tracegenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdio>
#include <string>

ABSL_FLAG(std::string,
          profile,
          "mill_lot_registry",
          "Profile of the service: mill_lot_registry, mill_quality_desk, accra_dispatch or accra_catalogue.");
ABSL_FLAG(std::string,
          scenario,
          "stragglers",
          "Scenario: shifting_load, stragglers, stale_reports, fast_fail or overload.");
ABSL_FLAG(double, load, 0.7, "Offered load as a share of the capacity of all slots.");
ABSL_FLAG(std::int64_t, length_ms, 800, "Duration of the trace in milliseconds.");
ABSL_FLAG(std::uint64_t, seed, 20261204, "Seed.");

namespace cardamomdeck {

namespace {

int runTraceGenerator(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto profiles = profileTable();
    const auto scenarios = scenarioTable();
    const auto profile = std::ranges::find(profiles, absl::GetFlag(FLAGS_profile), &deployment_profile::name);
    const auto scenario = std::ranges::find(scenarios, absl::GetFlag(FLAGS_scenario), &scenario_info::name);
    if (profile == profiles.end() || scenario == scenarios.end()) {
        std::fputs("unknown profile or scenario\n", stderr);
        return 2;
    }
    const trace_parameters parameters = {*profile,
                                         scenario->scenario,
                                         absl::GetFlag(FLAGS_load),
                                         milliseconds(absl::GetFlag(FLAGS_length_ms)),
                                         absl::GetFlag(FLAGS_seed)};
    std::fputs(encodeTrace(generateTrace(parameters)).c_str(), stdout);
    return 0;
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::runTraceGenerator(argc, argv);
}
