/**
 * @file
 * Decides which share of a service's requests may leave the entry's availability zone, and to which zones.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/zoneload.h"

#include <map>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Servers of one service in one zone. */
struct zone_capacity
{
    /** Slots of the usable servers; those of lost servers and of evacuated zones do not count, warming ones half. */
    double slots = 0;
    /** Mean load of these servers; none if it is not known. */
    std::optional<zone_load> load;

    bool operator==(const zone_capacity &) const = default;
};

/** State of one service at one time, as one entry knows it. */
struct overflow_inputs
{
    zone_capacity home;
    /** Other zones with usable servers. */
    std::map<std::string, zone_capacity> others;
    /** Recent share of its requests that this entry has sent to each other zone. */
    std::map<std::string, double> leftShares;
    /** Recent share that it has sent to servers of the own zone; the rest was rejected. */
    double keptShare = 1;

    bool operator==(const overflow_inputs &) const = default;
};

/**
 * Controller of the shares. The entries of a zone have nearly the same inputs, so that each of them sends about the
 * share of its own requests that the zone lacks, and all of them together what is missing.
 */
class zone_share_controller
{
public:
    /** Utilization that the own zone is to return to; above it, probes of a few servers find no free slot. */
    static constexpr double targetUtilization = 0.9;

    /** Utilization at which requests begin to leave. */
    static constexpr double startUtilization = 0.93;

    /** Utilization above which a zone helps no other one; a few percent remain for its own peaks. */
    static constexpr double helperLimit = 0.85;

    /** Period of the updates. */
    static constexpr milliseconds updatePeriod{200};

    /** Adapts the shares to @p inputs, if an update is due. */
    void update(const overflow_inputs &inputs, time_point now);

    /** Share of the service's requests that may leave; 1 if the zone has no usable server. */
    double share() const;

    /** The share by zone. */
    const std::map<std::string, double> &sharesByZone() const;

    /** A zone for a request that leaves, chosen with the weights of the shares, or by room if there is none. */
    std::optional<std::string> chooseZone(random_source &random) const;

    /** True if @p capacity is not known to be too busy to help. */
    static bool hasRoom(const zone_capacity &capacity);

private:
    /** Share that the zone lacks. */
    double neededShare(const overflow_inputs &inputs, time_point now);

    std::map<std::string, double> m_shares;
    /** Weights by room, for requests that leave without a share. */
    std::map<std::string, double> m_rooms;
    bool m_hasHomeServer = true;
    /** Until then the share does not fall because the shortage has become smaller. */
    time_point m_holdUntil;
    time_point m_nextUpdateAt;
};

}
