#include "cardamomdeck/fleet/entrychoice.h"

#include <algorithm>
#include <iterator>

namespace cardamomdeck {

namespace {

/** Least entries that callers are sent to alone; a single one would be a single point of failure. */
constexpr std::size_t fewestEntries = 2;

/** Share of the mean number of entries of a region's zones that a zone must have to serve its callers alone. */
constexpr double enoughShare = 0.5;

const std::string &regionOf(const std::string &zone, const zone_regions &regions)
{
    static const std::string unknown;
    const auto found = regions.find(zone);
    return found == regions.end() ? unknown : found->second;
}

template<typename condition>
std::vector<fleet_member> selectMembers(const std::vector<fleet_member> &members, condition matches)
{
    std::vector<fleet_member> selected;
    std::ranges::copy_if(members, std::back_inserter(selected), matches);
    return selected;
}

bool isEnough(std::size_t inZone, std::size_t inRegion, std::size_t zonesOfRegion)
{
    const double mean = static_cast<double>(inRegion) / static_cast<double>(std::max<std::size_t>(1, zonesOfRegion));
    return inZone >= fewestEntries && static_cast<double>(inZone) >= enoughShare * mean;
}

std::vector<fleet_member>
entriesFor(const std::vector<fleet_member> &ready, const zone_regions &regions, const caller_place &place)
{
    std::vector<fleet_member> inRegion = selectMembers(
        ready, [&](const fleet_member &member) { return regionOf(member.zone, regions) == place.region; });
    const auto zonesOfRegion = static_cast<std::size_t>(
        std::ranges::count_if(regions, [&](const auto &item) { return item.second == place.region; }));
    std::vector<fleet_member> inZone
        = selectMembers(ready, [&](const fleet_member &member) { return member.zone == place.zone; });
    if (isEnough(inZone.size(), inRegion.size(), zonesOfRegion)) {
        return inZone;
    }
    return inRegion.size() >= fewestEntries ? inRegion : ready;
}

}

std::vector<fleet_member> chooseEntries(const std::vector<fleet_member> &ready,
                                        const zone_regions &regions,
                                        const caller_place &place,
                                        std::size_t most,
                                        random_source &random)
{
    const std::vector<fleet_member> suitable = entriesFor(ready, regions, place);
    std::vector<fleet_member> chosen;
    std::ranges::sample(suitable, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(most), random);
    return chosen;
}

caller_advisor::caller_advisor(std::string self)
    : m_self(std::move(self))
{
}

void caller_advisor::setReady(bool ready, time_point now)
{
    if (!ready) {
        m_readySince.reset();
    } else if (!m_readySince) {
        m_readySince = now;
    }
}

bool caller_advisor::isSettling(time_point now) const
{
    return m_readySince && now < *m_readySince + settlingTime;
}

entry_advice caller_advisor::advise(const std::vector<fleet_member> &ready,
                                    const zone_regions &regions,
                                    const caller_place &place,
                                    std::size_t most,
                                    milliseconds lifetime,
                                    time_point now,
                                    random_source &random) const
{
    if (!isSettling(now)) {
        return {chooseEntries(ready, regions, place, most, random), lifetime};
    }
    return {selectMembers(ready, [&](const fleet_member &member) { return member.name == m_self; }),
            std::min(lifetime, settlingLifetime)};
}

}
