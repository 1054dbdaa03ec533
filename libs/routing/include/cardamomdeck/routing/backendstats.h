/**
 * @file
 * What one entry knows about one back end.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/model/resource.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cardamomdeck {

/** How an attempt ended, as far as choosing back ends is concerned. */
enum class attempt_outcome {
    success, /**< The back end did the work. */
    refused, /**< The back end refused before starting. */
    failed, /**< The attempt failed or its answer reports a server failure. */
    cancelled, /**< This entry gave the attempt up, for a reason other than the back end. */
};

/** One ended attempt. */
struct attempt_summary
{
    attempt_outcome kind = attempt_outcome::success;
    time_point startedAt;
    time_point finishedAt;
    /** Requests that the back end held when it answered, if it said so. */
    std::optional<std::uint32_t> reportedLoad;
};

/** Attempts in flight, latency and failures of one back end, as seen by one entry. */
class backend_stats
{
public:
    /** Statistics of @p backend, first known at @p now; @p crossZone when it is in another zone than the entry. */
    backend_stats(backend_spec backend, bool crossZone, time_point now);

    /** The back end as configured. */
    const backend_spec &spec() const;

    /** Replaces the configured values; a changed address makes the back end cold. */
    void reconfigure(backend_spec backend, bool crossZone, time_point now);

    /** Notes an attempt that starts at @p now. */
    void attemptStarted(time_point now);

    /** Notes the end of an attempt that was noted with started(). */
    void attemptEnded(const attempt_summary &report);

    /** Notes a load report that came without an attempt. */
    void recordLoadReport(std::uint32_t load, time_point now);

    /** Attempts of this entry that have not ended. */
    std::uint32_t inFlight() const;

    /** True when the back end is in another zone than the entry. */
    bool isCrossZone() const;

    /**
     * Expected latency of a request sent at @p now, in milliseconds, before
     * waiting. Rises at once with a slow answer, or with an attempt that has
     * not ended, and decays while answers are quick. @p typicalMs stands in
     * while nothing is known.
     */
    double expectedServiceMs(time_point now, double typicalMs) const;

    /** Requests that other entries are believed to hold there; the belief fades with the age of its report. */
    double otherEntriesLoad(time_point now) const;

    /** The load that the back end reported last, if that was at @p since or later. */
    std::optional<std::uint32_t> reportedLoad(time_point since) const;

    /** Failures since the last success. */
    std::uint32_t consecutiveFailures() const;

    /** When the last report, answer or probe came; nothing if none has come. */
    std::optional<time_point> lastUpdatedAt() const;

    /** Keeps the back end out of normal choice until @p until. */
    void eject(time_point until);

    /** True while the back end is kept out of normal choice. */
    bool isEjected(time_point now) const;

    /** True from an ejection until the first success after it. */
    bool isOnTrial() const;

    /** Times ejected since the last success. */
    std::uint32_t ejections() const;

    /** 1 for a warm back end, more for one that was added, or came back, a short time and few requests ago. */
    double warmUpFactor(time_point now) const;

private:
    void recordLatency(const attempt_summary &report);
    void recordSuccess(const attempt_summary &report);

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
