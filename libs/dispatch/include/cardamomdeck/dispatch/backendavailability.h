/**
 * @file
 * What backend servers have announced about themselves, as known by one entry.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/requestpause.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamomdeck {

/**
 * Whether one incarnation of a backend server accepts requests of this entry. A server that is leaving accepts none any
 * more. A server that has asked for a pause accepts none until its end; then one request goes alone, and the others
 * follow once it has been answered.
 */
class backend_availability
{
public:
    /** Availability of a server that has announced nothing. */
    backend_availability();

    /**
     * Availability of the next incarnation of the server, which may have been running since @p earliestStart. What was
     * announced from that time on, or in responses that are still to come, may be its announcement: a pause goes on,
     * and it accepts requests only after a probe response that does not announce that it is leaving.
     */
    std::shared_ptr<backend_availability> startNextIncarnation(time_point earliestStart);

    /** Records that the server is leaving. Returns false if that is known. */
    bool recordLeaving(time_point now);

    /** See request_pause::record(). */
    bool recordPause(time_point now, milliseconds duration, random_source &random);

    /** Records a response that is no rejection; it ends the trial after a pause. */
    void recordResponse();

    /** Records a request without a response; another one may be tried. */
    void recordFailure();

    /** Records a probe response that does not announce that the server is leaving. */
    void recordProbe();

    /** Returns true if a request may be sent. */
    bool isAvailable(time_point now) const;

    /** Returns true if a probe may be sent, or a connection opened. */
    bool isProbeAllowed(time_point now) const;

    /** Returns true if the server accepts no requests before recordProbe(). */
    bool needsProbe() const;

    /** Must be called immediately before a request is sent; returns false if it must not be sent. */
    bool tryStartRequest(time_point now);

    /** Time at which the server announced that it is leaving. */
    std::optional<time_point> leavingSince() const;

    /** End of the pause, or of the trial after it, that is in progress at @p now. */
    std::optional<time_point> pausedUntil(time_point now) const;

private:
    std::optional<time_point> m_leavingSince;
    /** Time of the last announcement of this incarnation, or one before it, that the server is leaving. */
    time_point m_lastLeavingAt = time_point::min();
    /** Shared by the incarnations of the server, because its responses do not name the incarnation. */
    std::shared_ptr<request_pause> m_pause;
    std::weak_ptr<backend_availability> m_nextIncarnation;
    bool m_needsProbe = false;
};

using backend_availability_ptr = std::shared_ptr<backend_availability>;

/**
 * The availability of all servers by id. It is kept while a server is not registered: its registration may expire and
 * return although the server is leaving.
 */
class backend_availability_table
{
public:
    /** Time for which the state of a server that is no longer registered is kept. */
    static constexpr milliseconds retentionTime{3'600'000};

    /**
     * Returns the state of the incarnation of server @p id that started at @p startUnixMs, by the clock of the server,
     * and at @p earliestStart at the earliest, by the clock of this entry.
     */
    backend_availability_ptr find(const std::string &id, std::int64_t startUnixMs, time_point earliestStart);

    /** Removes states that nobody else holds and that are too old or have no effect at @p now. */
    void removeUnused(time_point now);

    /** Number of states. */
    std::size_t size() const;

private:
    struct incarnation
    {
        std::int64_t startUnixMs = 0;
        backend_availability_ptr state;
        /** Set while nobody else holds the state. */
        std::optional<time_point> removeAt;
    };

    std::map<std::string, incarnation> m_incarnations;
};

}
