#include "cardamomdeck/fleet/entryresolver.h"

#include <algorithm>
#include <iterator>

namespace cardamomdeck {

namespace {

/**
 * Minimum number of entries of a zone or region that serve callers without those of others; one entry alone would be a
 * single point of failure.
 */
constexpr std::size_t minEntries = 2;

/**
 * Number of entries that a zone needs to serve its callers alone, as a share of the mean over the zones of the region.
 */
constexpr double minZoneShare = 0.5;

const std::string &regionOf(const std::string &zone, const zone_regions &regions)
{
    static const std::string unknownRegion;
    const auto found = regions.find(zone);
    return found == regions.end() ? unknownRegion : found->second;
}

template<typename condition>
std::vector<fleet_member> selectMembers(const std::vector<fleet_member> &members, condition matches)
{
    std::vector<fleet_member> selected;
    std::ranges::copy_if(members, std::back_inserter(selected), matches);
    return selected;
}

bool isZoneSufficient(std::size_t inZone, std::size_t inRegion, std::size_t zonesOfRegion)
{
    const double mean = static_cast<double>(inRegion) / static_cast<double>(std::max<std::size_t>(1, zonesOfRegion));
    return inZone >= minEntries && static_cast<double>(inZone) >= minZoneShare * mean;
}

std::vector<fleet_member>
candidatesFor(const std::vector<fleet_member> &ready, const zone_regions &regions, const caller_location &location)
{
    std::vector<fleet_member> inRegion = selectMembers(
        ready, [&](const fleet_member &member) { return regionOf(member.zone, regions) == location.region; });
    const auto zonesOfRegion = static_cast<std::size_t>(
        std::ranges::count_if(regions, [&](const auto &item) { return item.second == location.region; }));
    std::vector<fleet_member> inZone
        = selectMembers(ready, [&](const fleet_member &member) { return member.zone == location.zone; });
    if (isZoneSufficient(inZone.size(), inRegion.size(), zonesOfRegion)) {
        return inZone;
    }
    return inRegion.size() >= minEntries ? inRegion : ready;
}

}

std::vector<fleet_member> chooseEntries(const std::vector<fleet_member> &ready,
                                        const zone_regions &regions,
                                        const caller_location &location,
                                        std::size_t maxEntries,
                                        random_source &random)
{
    const std::vector<fleet_member> suitable = candidatesFor(ready, regions, location);
    std::vector<fleet_member> chosen;
    std::ranges::sample(suitable, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(maxEntries), random);
    return chosen;
}

entry_resolver::entry_resolver(std::string self)
    : m_self(std::move(self))
{
}

void entry_resolver::setReady(bool ready, time_point now)
{
    if (!ready) {
        m_readySince.reset();
    } else if (!m_readySince) {
        m_readySince = now;
    }
}

bool entry_resolver::isDiscovering(time_point now) const
{
    return m_readySince && now < *m_readySince + discoveryPeriod;
}

resolve_result entry_resolver::resolve(const std::vector<fleet_member> &ready,
                                       const zone_regions &regions,
                                       const caller_location &location,
                                       std::size_t maxEntries,
                                       milliseconds lifetime,
                                       time_point now,
                                       random_source &random) const
{
    if (!isDiscovering(now)) {
        return {chooseEntries(ready, regions, location, maxEntries, random), lifetime};
    }
    return {selectMembers(ready, [&](const fleet_member &member) { return member.name == m_self; }),
            std::min(lifetime, discoveryLifetime)};
}

}
