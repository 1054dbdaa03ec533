/**
 * @file
 * Restricts the backend servers of a request to those of allowed regions.
 */
#pragma once

#include "cardamomdeck/fleet/entryresolver.h"

#include <optional>
#include <set>
#include <string>

namespace cardamomdeck {

/** The availability zones whose backend servers may run a request. */
class zone_filter
{
public:
    /** Allows every zone. */
    zone_filter() = default;

    /**
     * Allows the zones whose region is in both @p ruleRegions and @p workspaceRegions; an empty set stands for all
     * regions. If either set is not empty, a zone that @p zones does not contain is not allowed.
     */
    zone_filter(const std::set<std::string> &ruleRegions,
                const std::set<std::string> &workspaceRegions,
                const zone_regions &zones);

    /** Returns whether servers of @p zone may run the request. */
    bool allows(const std::string &zone) const
    {
        return !m_allowedZones || m_allowedZones->contains(zone);
    }

    /** Returns whether any zone may be excluded. */
    bool isRestricted() const
    {
        return m_allowedZones.has_value();
    }

    bool operator==(const zone_filter &) const = default;

private:
    /** Nothing if every zone is allowed, whether or not the settings name it. */
    std::optional<std::set<std::string>> m_allowedZones;
};

}
