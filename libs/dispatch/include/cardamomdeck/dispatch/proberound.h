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

/** A set of probes that are sent at the same time. */
struct probe_round
{
    /** Whether servers of this entry's availability zone are probed, or those of the other zones. */
    bool sameZone = true;
    /** Maximum number of servers that are probed. */
    std::size_t maxProbes = 0;
    /** Time after which outstanding probes are no longer awaited if others have responded. */
    milliseconds stragglerTimeout{0};
    /** Returns whether the round is needed, given the best choice of the earlier rounds. */
    bool (*isNeeded)(const std::optional<backend_choice> &best, const choice_request &request) = nullptr;
};

/** All rounds, in order; a round is skipped if it is not needed. */
std::span<const probe_round> probeRounds();

}
