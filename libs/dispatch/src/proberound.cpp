#include "cardamomdeck/dispatch/proberound.h"

#include <array>

namespace cardamomdeck {

namespace {

/** Probes of the first round. Under usual load, one of three servers is idle and not slowed down in most cases. */
constexpr std::size_t initialProbes = 3;

/** Probes per zone before probing is widened; more probes hardly improve the chance to find a free slot. */
constexpr std::size_t zoneProbeBatch = 5;

/** A probe takes about 2 ms within a zone, and about 3 ms more to another zone. */
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
