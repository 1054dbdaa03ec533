/**
 * @file
 * Report of the load of one availability zone, part of a heartbeat while zone_overflow is on.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomdeck {

/** Utilization of one zone by service. */
struct zone_load_report
{
    std::string zone;
    /** Time since the load was observed. */
    milliseconds age{0};
    /** Requests that run or wait, in percent of the slots. */
    std::map<std::string, std::uint32_t> percentByService;

    bool operator==(const zone_load_report &) const = default;
};

}
