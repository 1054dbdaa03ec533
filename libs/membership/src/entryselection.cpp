#include "cardamomdeck/membership/entryselection.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace {

struct ranked_member
{
    std::uint64_t score;
    const entry_member *member;
};

/** The 64-bit finalizer of MurmurHash3, which spreads the bits of a weak hash. */
std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

std::uint64_t rendezvousScore(const std::string &member, const std::string &caller)
{
    std::size_t seed = 0;
    boost::hash_combine(seed, caller);
    boost::hash_combine(seed, member);
    return mixBits(seed);
}

std::vector<ranked_member> rankMembers(const std::map<std::string, entry_member> &members,
                                       const std::set<std::string> &unusable,
                                       const std::string &caller)
{
    std::vector<ranked_member> ranked;
    for (const auto &[name, member] : members) {
        if (!unusable.contains(name)) {
            ranked.push_back({rendezvousScore(name, caller), &member});
        }
    }
    std::ranges::sort(ranked, std::greater(), &ranked_member::score);
    return ranked;
}

}

std::vector<entry_member> selectEntries(const std::map<std::string, entry_member> &members,
                                        const std::set<std::string> &unusable,
                                        const std::string &caller)
{
    std::vector<ranked_member> ranked = rankMembers(members, unusable, caller);
    if (ranked.empty()) {
        ranked = rankMembers(members, {}, caller);
    }
    std::vector<entry_member> selected;
    std::vector<entry_member> fromSelectedZones;
    std::set<std::string> selectedZones;
    for (const ranked_member &candidate : ranked) {
        if (selectedZones.insert(candidate.member->zone).second) {
            selected.push_back(*candidate.member);
        } else {
            fromSelectedZones.push_back(*candidate.member);
        }
    }
    selected.insert(selected.end(), fromSelectedZones.begin(), fromSelectedZones.end());
    if (selected.size() > maxSelectedEntries) {
        selected.resize(maxSelectedEntries);
    }
    return selected;
}

}
