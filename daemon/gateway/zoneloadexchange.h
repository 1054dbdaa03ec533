/**
 * @file
 * Exchange of zone loads with peers, as a part of the periodic heartbeats; does nothing while zone_overflow is off.
 */
#pragma once

#include "cardamomdeck/fleet/fleetmessage.h"

#include <functional>
#include <utility>
#include <vector>

namespace cardamomdeck {

/** Connects heartbeats with the source and the receiver of zone loads; without them, heartbeats are unchanged. */
struct zone_load_exchange
{
    /** Returns the loads for a heartbeat within the zone, or to other zones. */
    std::function<std::vector<zone_load_report>(bool toOtherZones)> report;
    std::function<void(const heartbeat_message &)> receive;

    heartbeat_message withLoads(heartbeat_message heartbeat, bool toOtherZones) const
    {
        if (report) {
            heartbeat.zoneLoads = report(toOtherZones);
        }
        return heartbeat;
    }

    void handle(const heartbeat_message &heartbeat) const
    {
        if (receive && !heartbeat.zoneLoads.empty()) {
            receive(heartbeat);
        }
    }
};

}
