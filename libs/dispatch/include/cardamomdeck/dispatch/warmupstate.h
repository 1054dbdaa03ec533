/**
 * @file
 * Until when a backend server is cold, according to its health responses and its reports in the store.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/fleetstate.h"

#include <optional>

namespace cardamomdeck {

/** The newest statement counts. A health response comes from the server itself and goes before a report. */
class warmup_state
{
public:
    /**
     * Maximum time by which a report makes a warm-up seem to end too late, as its time is counted from when it is read.
     * Entries with an older view send nothing to cold servers.
     */
    static constexpr milliseconds maxReportDelay = fleet_state::storeOutageThreshold;

    /**
     * Records a health response that arrived at @p now: the server remains cold for @p remaining, or is not cold if
     * that is 0. A response to a probe that was sent at @p sentAt, before the last one arrived, does not shorten the
     * warm-up, because it may have been overtaken.
     */
    void recordProbe(milliseconds remaining, time_point sentAt, time_point now);

    /**
     * Records a report according to which the server is cold until @p endsAt; one that is known has no effect. After a
     * health response, a report counts only if the server has turned cold since.
     */
    void recordReport(time_point endsAt);

    /** Records the first report of the next incarnation of the server; it does not end a warm-up. */
    void recordRestart(time_point endsAt);

    /** End of the warm-up; not after the present time if the server is not cold. */
    time_point coldUntil() const;

    /** True if the server is cold at @p now. */
    bool isCold(time_point now) const;

private:
    time_point m_coldUntil;
    /** End of the warm-up according to the last report. */
    std::optional<time_point> m_reportedEnd;
    /** End of the warm-up according to the last health response, and its arrival. */
    std::optional<time_point> m_probedEnd;
    time_point m_probedAt;
};

}
