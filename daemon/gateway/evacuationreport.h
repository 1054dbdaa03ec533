/**
 * @file
 * Log lines, metrics and JSON about evacuated availability zones, for operators.
 */
#pragma once

#include "cardamomdeck/fleet/evacuationtable.h"
#include "cardamomdeck/platform/platformsettings.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Logs each change of the evacuated zones once. */
class evacuation_log
{
public:
    /** Logs also whether a zone is one of those in @p settings. */
    explicit evacuation_log(const platform::platform_settings &settings);

    /** Logs the zones of @p table that have been evacuated or have returned since the last call, due to @p source. */
    void recordChanges(const evacuation_table &table, std::string_view source);

    /** Logs those of the evacuations @p read from the store that the limits of @p table have kept out of it. */
    void recordDropped(const std::vector<evacuation_record> &read, const evacuation_table &table) const;

private:
    bool isInSettings(const std::string &zone) const;

    const platform::platform_settings &m_settings;
    zone_set_ptr m_zones = std::make_shared<const zone_set>();
};

/** Appends the metric of each zone in @p table to @p text: 1 while it is evacuated, 0 after that. */
void appendEvacuationMetrics(std::string &text, const evacuation_table &table);

/** The evacuated zones of @p table with the positions of their records. */
nlohmann::json evacuationsJson(const evacuation_table &table);

}
