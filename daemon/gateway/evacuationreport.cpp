#include "evacuationreport.h"

#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"

#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>

namespace cardamomdeck {

using nlohmann::json;

evacuation_log::evacuation_log(const platform::platform_settings &settings)
    : m_settings(settings)
{
}

bool evacuation_log::isInSettings(const std::string &zone) const
{
    return zone == m_settings.zone || m_settings.zoneRegions.contains(zone);
}

void evacuation_log::recordChanges(const evacuation_table &table, std::string_view source)
{
    const zone_set_ptr before = m_zones;
    m_zones = table.evacuatedZones();
    if (m_zones == before) {
        return;
    }
    for (const evacuation_record &record : table.records()) {
        const bool wasEvacuated = before->contains(record.zone);
        const bool isEvacuated = m_zones->contains(record.zone);
        if (isEvacuated && !wasEvacuated) {
            log_line("zone_evacuated")
                .add("zone", record.zone)
                .add("offset", record.position.offset)
                .add("source", source)
                .add("in_settings", isInSettings(record.zone) ? "true" : "false")
                .warn();
        } else if (!isEvacuated && wasEvacuated) {
            log_line("zone_returned")
                .add("zone", record.zone)
                .add("offset", record.position.offset)
                .add("source", source)
                .warn();
        }
    }
}

void evacuation_log::recordDropped(const std::vector<evacuation_record> &read, const evacuation_table &table) const
{
    for (const evacuation_record &record : read) {
        if (record.evacuated && !table.find(record.zone)) {
            log_line("zone_evacuation_ignored")
                .add("zone", record.zone)
                .add("offset", record.position.offset)
                .add("max_zones", evacuation_table::maxZones)
                .warn();
        }
    }
}

void appendEvacuationMetrics(std::string &text, const evacuation_table &table)
{
    const zone_set_ptr &evacuatedZones = table.evacuatedZones();
    for (const evacuation_record &record : table.records()) {
        const std::string zone = absl::StrReplaceAll(record.zone, {{"\\", "\\\\"}, {"\"", "\\\""}});
        appendMetric(text, "zone_evacuated", "zone=\"" + zone + "\"", evacuatedZones->contains(record.zone) ? 1 : 0);
    }
}

json evacuationsJson(const evacuation_table &table)
{
    json zones = json::array();
    for (const evacuation_record &record : table.records()) {
        if (table.evacuatedZones()->contains(record.zone)) {
            zones.push_back({{"zone", record.zone}, {"offset", record.position.offset}});
        }
    }
    return zones;
}

}
