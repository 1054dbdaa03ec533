/**
 * @file
 * Selects the entries that a resolve request returns to a caller.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/fleet/membertable.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Region by availability zone. */
using zone_regions = std::map<std::string, std::string>;

/** Zone and region of a caller. */
struct caller_location
{
    std::string zone;
    std::string region;

    bool operator==(const caller_location &) const = default;
};

/**
 * Up to @p maxEntries of the entries @p ready for a caller at @p location: entries of its zone; entries of its region
 * when the zone has too few; entries of all regions when the region has too few. Selects at random when there are more
 * than @p maxEntries, so that all entries get callers.
 */
std::vector<fleet_member> chooseEntries(const std::vector<fleet_member> &ready,
                                        const zone_regions &regions,
                                        const caller_location &location,
                                        std::size_t maxEntries,
                                        random_source &random);

/** Result of a resolve request. */
struct resolve_result
{
    std::vector<fleet_member> entries;
    /** How long the caller may cache the result. */
    milliseconds lifetime;
};

/**
 * Answers resolve requests. For a short time after an entry has become ready, it returns only itself: when a whole
 * fleet starts, each entry knows only itself and the seeds, and all callers would be sent to the seeds.
 */
class entry_resolver
{
public:
    /** Time after becoming ready in which the members are discovered by the first heartbeats. */
    static constexpr milliseconds discoveryPeriod{800};
    /** Maximum lifetime of results during the discovery period. */
    static constexpr milliseconds discoveryLifetime{1000};

    /** Creates the resolver of the entry named @p self. */
    explicit entry_resolver(std::string self);

    /** Sets whether the entry can serve callers at @p now. */
    void setReady(bool ready, time_point now);

    /** True during the discovery period. */
    bool isDiscovering(time_point now) const;

    /**
     * During the discovery period this entry alone, if it is in @p ready, for at most discoveryLifetime; otherwise the
     * result of chooseEntries() for @p lifetime.
     */
    resolve_result resolve(const std::vector<fleet_member> &ready,
                           const zone_regions &regions,
                           const caller_location &location,
                           std::size_t maxEntries,
                           milliseconds lifetime,
                           time_point now,
                           random_source &random) const;

private:
    std::string m_self;
    /** When the entry became ready; none while it is not. */
    std::optional<time_point> m_readySince;
};

}
