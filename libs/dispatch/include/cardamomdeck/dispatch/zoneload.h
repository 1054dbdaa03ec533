/**
 * @file
 * What an entry knows about the load of a service's servers in each availability zone.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/dispatch/loadreport.h"

#include <map>
#include <optional>
#include <string>

namespace cardamomdeck {

/** Mean load of the servers of one service in one zone. */
struct zone_load
{
    /** Requests that run or wait, as a share of the slots; above 1 when requests wait. */
    double utilization = 0;
    /** Mean slowdown that the servers report; 1 if it is known from peers only. */
    double slowdown = 1.0;
    /** Mean time of the observations. */
    time_point observedAt;

    bool operator==(const zone_load &) const = default;
};

/** Loads of one service by zone, from this entry's probes and from the reports of its peers. */
class zone_load_table
{
public:
    /** Age above which an observation or a report no longer counts. */
    static constexpr milliseconds maxAge{3000};

    /** Records the load that a probe of a server in @p zone returned. */
    void recordProbe(const std::string &zone, const load_report &report, time_point now);

    /**
     * Records that @p reporter observed @p utilization at @p observedAt. The newest report of a reporter counts. A
     * report that is relayed, or is already the mean of a zone, has an empty reporter.
     */
    void recordReport(const std::string &zone,
                      const std::string &reporter,
                      double utilization,
                      time_point observedAt,
                      time_point now);

    /** Load of @p zone according to this entry's probes; none without a recent one. */
    std::optional<zone_load> observedLoad(const std::string &zone, time_point now) const;

    /** The newest relayed report of @p zone, to be relayed further; none without a recent one. */
    std::optional<zone_load> relayedLoad(const std::string &zone, time_point now) const;

    /** Load of @p zone according to the probes and all reports; none without a recent one. */
    std::optional<zone_load> load(const std::string &zone, time_point now) const;

    /** Removes reports that no longer count. */
    void expire(time_point now);

private:
    /** Mean over the probes of the last second; older ones count less. */
    struct probe_mean
    {
        double weight = 0;
        double utilization = 0;
        double slowdown = 1.0;
        time_point lastProbeAt;
    };

    struct peer_report
    {
        double utilization = 0;
        time_point observedAt;
    };

    std::map<std::string, probe_mean> m_probes;
    /** By zone and reporter. */
    std::map<std::string, std::map<std::string, peer_report>> m_reports;
};

}
