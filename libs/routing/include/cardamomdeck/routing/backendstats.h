/**
 * @file
 * Statistics of one entry about one backend server.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/model/resource.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cardamomdeck {

/** Outcome of an attempt for load balancing. */
enum class attempt_outcome {
    success, /**< The backend server processed the request. */
    refused, /**< The backend server rejected the request before running it. */
    failed, /**< The attempt failed or its response reports a server failure. */
    cancelled, /**< This entry cancelled the attempt, for a reason other than the backend server. */
};

/** Result and times of a finished attempt. */
struct attempt_summary
{
    attempt_outcome kind = attempt_outcome::success;
    time_point startedAt;
    time_point finishedAt;
    /** Load that the backend server reported with its response, in requests; empty if it reported none. */
    std::optional<std::uint32_t> reportedLoad;
};

/** Attempts in flight, latency and failures of one backend server, as seen by one entry. */
class backend_stats
{
public:
    /** Creates statistics of @p backend, added at @p now; @p crossZone if it is in another zone than the entry. */
    backend_stats(backend_spec backend, bool crossZone, time_point now);

    /** The configuration of the backend server. */
    const backend_spec &spec() const;

    /**
     * Replaces the configuration. A changed address restarts the warm-up and resets
     * all statistics except for the attempts in flight.
     */
    void reconfigure(backend_spec backend, bool crossZone, time_point now);

    /** Records the start of an attempt at @p now. */
    void attemptStarted(time_point now);

    /** Records the end of an attempt that was recorded with attemptStarted(). */
    void attemptEnded(const attempt_summary &summary);

    /** Records a load report that arrives outside of an attempt; @p load is in requests. */
    void recordLoadReport(std::uint32_t load, time_point now);

    /** Number of this entry's attempts in flight. */
    std::uint32_t inFlight() const;

    /** Returns true if the backend server is in another availability zone than the entry. */
    bool isCrossZone() const;

    /**
     * Expected latency of a request sent at @p now, in milliseconds, without
     * waiting time. It rises at once after a slow response, or while an attempt
     * is in flight for longer, and decays while responses are fast. Without
     * recent measurements it approaches @p typicalMs.
     */
    double expectedServiceMs(time_point now, double typicalMs) const;

    /** Estimated number of requests of other entries; decays exponentially with the age of the load report. */
    double otherEntriesLoad(time_point now) const;

    /** The last reported load, if it was reported at @p since or later. */
    std::optional<std::uint32_t> reportedLoad(time_point since) const;

    /** Number of failures since the last success. */
    std::uint32_t consecutiveFailures() const;

    /** Time of the last load report or latency measurement; empty if there was none. */
    std::optional<time_point> lastUpdatedAt() const;

    /** Ejects the backend server from the normal choice until @p until. */
    void eject(time_point until);

    /** Returns true while the backend server is ejected. */
    bool isEjected(time_point now) const;

    /** Returns true from an ejection until the first success after it. */
    bool isOnTrial() const;

    /** Number of ejections since the last success. */
    std::uint32_t ejections() const;

    /**
     * Cost factor during warm-up, after the backend server was added or recovered
     * from an ejection. It falls with time and successes, to 1 after the warm-up.
     */
    double warmUpFactor(time_point now) const;

private:
    void recordLatency(const attempt_summary &summary);
    void recordSuccess(const attempt_summary &summary);

    backend_spec m_spec;
    bool m_crossZone;
    std::deque<time_point> m_attemptStarts;
    double m_latencyMs = 0;
    std::optional<time_point> m_latencyAt;
    double m_otherEntriesLoad = 0;
    std::uint32_t m_reportedLoad = 0;
    std::optional<time_point> m_loadAt;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    time_point m_ejectedUntil;
    time_point m_warmUpStartedAt;
    std::uint32_t m_successes = 0;
};

}
