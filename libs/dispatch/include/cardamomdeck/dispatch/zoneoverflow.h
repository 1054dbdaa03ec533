/**
 * @file
 * Decides for each request of a service whether it may leave the entry's availability zone, and to which zone first.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/backendchoice.h"
#include "cardamomdeck/dispatch/overflowrules.h"
#include "cardamomdeck/dispatch/zoneload.h"
#include "cardamomdeck/dispatch/zoneshares.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomdeck {

/** Why a request may leave its zone. */
enum class leave_reason {
    /** It stays. */
    none,
    /** The zone has no server of the service that could be tried. */
    no_server,
    /** The zone is short of servers, and the request belongs to the share that leaves. */
    shortage,
    /** It would be rejected, or miss its deadline, in its zone. */
    deadline,
};

/** Number of values of leave_reason. */
inline constexpr std::size_t leaveReasonCount = 4;

/** The name of @p reason in metrics and logs. */
std::string_view nameOf(leave_reason reason);

/** A request for which no acceptable server was found in its zone. */
struct overflow_request
{
    std::string rule;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    std::uint32_t mostUrgentPriority = 0;
    choice_request choice;
    /** Best server of the zone; none without a probe response. */
    std::optional<backend_choice> homeChoice;
    /** The zone has servers that this request has not tried yet. */
    bool hasHomeServer = true;
};

/** Whether a request may leave its zone. */
struct leave_decision
{
    leave_reason reason = leave_reason::none;
    /** Zone whose servers are probed first; empty for any. */
    std::string firstZone;
    /** Cost of crossing in milliseconds, for the comparison of servers. */
    double crossingCostMs = 0;
    /** Only servers with a free slot may be chosen there. */
    bool needsFreeSlot = true;

    bool operator==(const leave_decision &) const = default;

    bool mayLeave() const
    {
        return reason != leave_reason::none;
    }
};

/** State of the decision for one service, for logs and operators. */
struct overflow_state
{
    double share = 0;
    std::map<std::string, double> shareByZone;
    std::map<std::string, double> shareByRule;
    /** Inputs of the last update. */
    overflow_inputs inputs;

    bool operator==(const overflow_state &) const = default;

    bool isLeaving() const
    {
        return share > 0;
    }
};

/** The decision for one service at one entry. */
class zone_overflow
{
public:
    zone_overflow(std::string homeZone, crossing_cost cost);

    /** Loads of the service by zone; receives probe results and peers' reports. */
    zone_load_table &loads();
    const zone_load_table &loads() const;

    /** True if update() has something to do at @p now; the slots need not be counted otherwise. */
    bool isUpdateDue(time_point now) const;

    /** Adapts the shares; @p slotsByZone counts the slots of usable servers, see zone_capacity::slots. */
    void update(const std::map<std::string, double> &slotsByZone, time_point now);

    /** Records a new request of @p rule, before its first probe. */
    void recordRequest(const std::string &rule, double serviceMs, std::uint32_t priority, time_point now);

    /**
     * Decides about a request before any server is probed. While the zone is busy, the share that leaves is not probed
     * there first, because the probes of a busy zone would take up the budget for probes.
     */
    leave_decision decideFirst(const overflow_request &request, random_source &random) const;

    /** Decides about a request for which no acceptable server was found in its zone. */
    leave_decision decide(const overflow_request &request, random_source &random) const;

    /** Records that a request with the usual service time @p serviceMs is sent to a server in @p zone. */
    void recordSent(const std::string &zone, double serviceMs, time_point now);

    /** Records the bytes of a request and its response. */
    void recordBytes(const std::string &rule, double bytes);

    /** The shares in force, and what they are based on. */
    const overflow_state &state() const;

private:
    /** Sets the shares that were sent to each zone. */
    void setSentShares(overflow_inputs &inputs, time_point now) const;
    leave_decision leaveWithoutServer(random_source &random) const;
    leave_decision leaveByShare(const overflow_request &request, random_source &random) const;
    std::string chooseZoneWithRoom(random_source &random) const;
    /** True if the expected gain of crossing is larger than @p costMs. */
    bool pays(const overflow_request &request, const std::string &zone, double costMs) const;

    /** Recent sum of slot time; older requests count less. */
    struct recent_work
    {
        double slotMs = 0;
        time_point updatedAt;

        double valueAt(time_point now) const;
        void add(double addedMs, time_point now);
    };

    std::string m_homeZone;
    crossing_cost m_cost;
    zone_load_table m_loads;
    rule_traffic_meter m_traffic;
    zone_share_controller m_controller;
    recent_work m_requestedWork;
    std::map<std::string, recent_work> m_sentWork;
    overflow_state m_state;
    time_point m_nextUpdateAt;
};

}
