#include "cardamomdeck/dispatch/proberound.h"

#include <array>

namespace cardamomdeck {

namespace {

/** Probed first: at the usual load one of three servers is idle and quick in most cases. */
constexpr std::size_t initialProbes = 3;

/** Probed of a zone before others are asked; more find a free slot hardly more often. */
constexpr std::size_t zoneProbeBatch = 5;

/** An answer within a zone takes some 2 ms, and one from another zone some 3 ms more. */
constexpr milliseconds sameZoneTimeout{10};
constexpr milliseconds crossZoneTimeout{15};

bool hasNoChoice(const std::optional<backend_choice> &best, const choice_request &)
{
    return !best;
}

constexpr std::array<probe_round, 4> rounds{{
    {true, initialProbes, sameZoneTimeout, hasNoChoice},
    {true, zoneProbeBatch - initialProbes, sameZoneTimeout, hasNoIdleBackend},
    {true, zoneProbeBatch, sameZoneTimeout, hasNoAcceptableBackend},
    {false, zoneProbeBatch, crossZoneTimeout, hasNoAcceptableBackend},
}};

}

std::span<const probe_round> probeRounds()
{
    return rounds;
}

}
