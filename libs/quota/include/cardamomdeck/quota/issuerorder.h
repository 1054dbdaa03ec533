/**
 * @file
 * The order in which entries are asked for the tokens of a workspace.
 */
#pragma once

#include "cardamomdeck/fleet/membertable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Rendezvous hashing score of @p entry for @p workspace; the same in all entries. */
std::uint64_t issuerScore(std::string_view entry, std::string_view workspace);

/** True when @p a goes before @p b as the issuer of @p workspace, whatever other entries there are. */
bool isIssuerBefore(std::string_view a, std::string_view b, std::string_view workspace);

/** The live entries that may be issuers; all but a few entries of a fleet agree on them at any time. */
class issuer_order
{
public:
    /** Number of entries that may be issuers: the first by rank, which have most processor and link capacity. */
    static constexpr std::size_t candidateCount = 4;
    /** Number of entries, the first by rank, that may still be issuers in the view of some other entry. */
    static constexpr std::size_t nearCandidateCount = 8;

    issuer_order() = default;

    /** The order among @p alive; those that are not ready or are shutting down are left out. */
    explicit issuer_order(const std::vector<fleet_member> &alive);

    /** Names of the entries that may be issuers, by rank. */
    const std::vector<std::string> &candidates() const;

    /** Names of the candidates and of the entries that rank next, by rank. */
    const std::vector<std::string> &nearCandidates() const;

    /** True when @p entry may be an issuer. */
    bool isCandidate(const std::string &entry) const;

    /** The candidates in the order in which they are asked for the tokens of @p workspace. */
    std::vector<std::string> orderFor(std::string_view workspace) const;

    bool operator==(const issuer_order &) const = default;

private:
    std::vector<std::string> m_candidates;
    std::vector<std::string> m_nearCandidates;
};

}
