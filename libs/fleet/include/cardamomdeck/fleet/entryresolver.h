/**
 * @file
 * Chooses the entries that a caller is told to use.
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

/** Region of each availability zone. */
using zone_regions = std::map<std::string, std::string>;

/** Where a caller is. */
struct caller_location
{
    std::string zone;
    std::string region;

    bool operator==(const caller_location &) const = default;
};

/**
 * Up to @p most of the entries @p ready for a caller at @p place: those of its
 * zone; when too few of them are left for the callers of a zone, those of its
 * region; and else all. A random selection where there are more, so that all
 * get callers.
 */
std::vector<fleet_member> chooseEntries(const std::vector<fleet_member> &ready,
                                        const zone_regions &regions,
                                        const caller_location &place,
                                        std::size_t most,
                                        random_source &random);

/** What a caller is told. */
struct resolve_result
{
    std::vector<fleet_member> entries;
    /** How long the caller may keep it. */
    milliseconds lifetime;
};

/**
 * What an entry tells callers. While it has just become able to serve it names
 * itself alone, for a short time: when a whole fleet starts, an entry knows
 * itself and the seeds, and all callers would be sent to the seeds.
 */
class entry_resolver
{
public:
    /** Time in which the first heartbeats make the members known. */
    static constexpr milliseconds discoveryPeriod{800};
    /** How long callers keep what they are told until then. */
    static constexpr milliseconds discoveryLifetime{1000};

    /** The advisor of the entry @p self. */
    explicit entry_resolver(std::string self);

    /** Notes whether the entry can serve at @p now. */
    void setReady(bool ready, time_point now);

    /** True while the members are not known yet. */
    bool isDiscovering(time_point now) const;

    /** Up to @p most of the entries @p ready for a caller at @p place, mostly for @p lifetime. */
    resolve_result resolve(const std::vector<fleet_member> &ready,
                           const zone_regions &regions,
                           const caller_location &place,
                           std::size_t most,
                           milliseconds lifetime,
                           time_point now,
                           random_source &random) const;

private:
    std::string m_self;
    /** When the entry became able to serve; none while it cannot. */
    std::optional<time_point> m_readySince;
};

}
