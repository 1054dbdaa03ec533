/**
 * @file
 * Decides about leaving the availability zone for all services of an entry; exists only while zone_overflow is on.
 */
#pragma once

#include "forwardedrequest.h"
#include "overflowsettings.h"
#include "servicestate.h"

#include "cardamomdeck/dispatch/zoneoverflow.h"
#include "cardamomdeck/fleet/fleetmessage.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Where requests went, and why. */
struct leave_target
{
    std::string zone;
    leave_reason reason = leave_reason::none;

    auto operator<=>(const leave_target &) const = default;
};

/** Requests and bytes that left the zone. */
struct left_traffic
{
    std::uint64_t requests = 0;
    std::uint64_t bytes = 0;

    bool operator==(const left_traffic &) const = default;
};

/** State of one service. */
struct service_overflow
{
    zone_overflow decision;
    std::map<std::string, double> slotsByZone;
    std::map<leave_target, left_traffic> left;
};

/** The decisions by service, with their inputs from probes, the view and the peers. */
class zone_overflow_table
{
public:
    /** Table of an entry in @p homeZone for @p services, which must outlive this object. */
    zone_overflow_table(std::string homeZone,
                        overflow_settings settings,
                        const std::map<std::string, service_state_ptr> &services,
                        random_source &random);

    /** Servers in @p zones do not count as usable. */
    void setEvacuatedZones(std::set<std::string> zones);

    /** Records the load that a probe has returned. */
    void recordProbe(service_state &service, const std::string &zone, const load_report &load, time_point now);

    /** See zone_overflow::decideFirst(); @p isFirstAttempt counts the request. */
    leave_decision decideFirst(const forwarded_request &request, bool hasHomeServer, bool isFirstAttempt);

    /** See zone_overflow::decide(). */
    leave_decision
    decide(const forwarded_request &request, const std::optional<backend_choice> &homeChoice, bool hasHomeServer);

    /** Records that an attempt of @p request is sent to a server in @p zone. */
    void recordSent(const forwarded_request &request, const std::string &zone, leave_reason reason);

    /** Records the bytes of a request and its response. */
    void recordBytes(const forwarded_request &request, const std::string &zone, leave_reason reason, std::size_t bytes);

    /**
     * The loads for the next heartbeat: what this entry has observed in its zone and the newest reports of other zones,
     * or, to other zones, the mean of this zone. Called for each heartbeat, it also updates the shares.
     */
    std::vector<zone_load_report> reports(bool toOtherZones, time_point now);

    /** Takes over the loads in a peer's heartbeat. */
    void applyReports(const heartbeat_message &heartbeat, time_point now);

    /** Appends the metrics in Prometheus text format. */
    void appendMetrics(std::string &text) const;

private:
    service_overflow &overflowOf(service_state &service);
    void update(const std::string &name, service_state &service, time_point now);
    overflow_request makeRequest(const forwarded_request &request, bool hasHomeServer, time_point now) const;

    std::string m_homeZone;
    overflow_settings m_settings;
    const std::map<std::string, service_state_ptr> &m_services;
    random_source &m_random;
    std::set<std::string> m_evacuatedZones;
};

/** The settings and the shares in force, as JSON for /v1/fleet. */
std::string overflowJson(const overflow_settings &settings, const std::map<std::string, service_state_ptr> &services);

}
