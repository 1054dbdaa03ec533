#include "cardamomdeck/quota/issuerorder.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace cardamomdeck {

std::uint64_t issuerScore(std::string_view entry, std::string_view workspace)
{
    return std::hash<std::string>()(std::string(entry) + "/" + std::string(workspace));
}

bool isIssuerBefore(std::string_view a, std::string_view b, std::string_view workspace)
{
    const std::uint64_t scoreOfA = issuerScore(a, workspace);
    const std::uint64_t scoreOfB = issuerScore(b, workspace);
    return scoreOfA != scoreOfB ? scoreOfA > scoreOfB : a < b;
}

issuer_order::issuer_order(const std::vector<fleet_member> &alive)
{
    std::vector<const fleet_member *> serving;
    for (const fleet_member &member : alive) {
        if (member.ready && !member.shuttingDown) {
            serving.push_back(&member);
        }
    }
    const std::size_t count = std::min(nearCandidateCount, serving.size());
    std::partial_sort(serving.begin(),
                      serving.begin() + static_cast<std::ptrdiff_t>(count),
                      serving.end(),
                      [](const fleet_member *a, const fleet_member *b) { return hasHigherRank(*a, *b); });
    for (std::size_t index = 0; index < count; ++index) {
        m_nearCandidates.push_back(serving[index]->name);
        if (index < candidateCount) {
            m_candidates.push_back(serving[index]->name);
        }
    }
}

const std::vector<std::string> &issuer_order::candidates() const
{
    return m_candidates;
}

const std::vector<std::string> &issuer_order::nearCandidates() const
{
    return m_nearCandidates;
}

bool issuer_order::isCandidate(const std::string &entry) const
{
    return std::ranges::find(m_candidates, entry) != m_candidates.end();
}

std::vector<std::string> issuer_order::orderFor(std::string_view workspace) const
{
    std::vector<std::string> order = m_candidates;
    std::ranges::sort(
        order, [workspace](const std::string &a, const std::string &b) { return isIssuerBefore(a, b, workspace); });
    return order;
}

}
