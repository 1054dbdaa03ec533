/**
 * @file
 * Decides how many backend servers are probed for a request, and from which availability zones.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/dispatch/backendchoice.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cardamomdeck {

/** Servers that are probed at the same time. */
struct probe_round
{
    /** Of this entry's availability zone, or of the others. */
    bool sameZone = true;
    /** Most servers probed. */
    std::size_t maxProbes = 0;
    /** Time after which probes are not waited for any more when others have answered. */
    milliseconds stragglerTimeout{0};
    /** Whether the best choice of the rounds before leaves enough to gain. */
    bool (*isNeeded)(const std::optional<backend_choice> &best, const choice_request &request) = nullptr;
};

/** The rounds in the order in which they are run; those that are not needed are left out. */
std::span<const probe_round> probeRounds();

}
