#include "cardamomdeck/dispatch/zonefilter.h"

namespace cardamomdeck {

zone_filter::zone_filter(const std::set<std::string> &ruleRegions,
                         const std::set<std::string> &workspaceRegions,
                         const zone_regions &zones)
{
    if (ruleRegions.empty() && workspaceRegions.empty()) {
        return;
    }
    m_allowedZones.emplace();
    for (const auto &[zone, region] : zones) {
        if ((ruleRegions.empty() || ruleRegions.contains(region))
            && (workspaceRegions.empty() || workspaceRegions.contains(region))) {
            m_allowedZones->insert(zone);
        }
    }
}

}
