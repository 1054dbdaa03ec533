/**
 * @file
 * Writes a generated trace to standard output.
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
          "Service: mill_lot_registry, mill_quality_desk, accra_dispatch, accra_catalogue.");
ABSL_FLAG(std::string, scenario, "stragglers", "shifting_load, stragglers, stale_reports, fast_fail or overload.");
ABSL_FLAG(double, load, 0.7, "Arriving work as a share of what all slots can do.");
ABSL_FLAG(std::int64_t, length_ms, 800, "Length in milliseconds.");
ABSL_FLAG(std::uint64_t, seed, 20261204, "Seed.");

namespace cardamomdeck {

namespace {

int runGenerator(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto profiles = profileTable();
    const auto scenarios = scenarioTable();
    const auto profile = std::ranges::find(profiles, absl::GetFlag(FLAGS_profile), &deployment_profile::name);
    const auto scenario = std::ranges::find(scenarios, absl::GetFlag(FLAGS_scenario), &scenario_info::name);
    if (profile == profiles.end() || scenario == scenarios.end()) {
        std::fputs("no such profile or scenario\n", stderr);
        return 2;
    }
    const trace_parameters recipe = {*profile,
                                     scenario->scenario,
                                     absl::GetFlag(FLAGS_load),
                                     milliseconds(absl::GetFlag(FLAGS_length_ms)),
                                     absl::GetFlag(FLAGS_seed)};
    std::fputs(encodeTrace(generateTrace(recipe)).c_str(), stdout);
    return 0;
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::runGenerator(argc, argv);
}
