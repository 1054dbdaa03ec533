/**
 * @file
 * What backend servers have announced about themselves, as known by one entry.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"

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
    /** Time after which the other requests follow even if the first one after a pause has no response yet. */
    static constexpr milliseconds trialTimeout{1000};

    /** Records that the server is leaving. Returns false if that is known. */
    bool recordLeaving(time_point now);

    /**
     * Records that the server wants no requests for @p duration from @p now on. The end of the pause is delayed by a
     * random time, so that entries do not return at one moment. Returns false if the present pause lasts longer.
     */
    bool recordPause(time_point now, milliseconds duration, random_source &random);

    /** Records a response that is no rejection; it ends the trial after a pause. */
    void recordResponse();

    /** Records a request without a response; another one may be tried. */
    void recordFailure();

    /** Returns true if a request or probe may be sent, or a connection opened. */
    bool isAvailable(time_point now) const;

    /** Must be called immediately before a request is sent; returns false if it must not be sent. */
    bool tryStartRequest(time_point now);

    /** Time at which the server announced that it is leaving. */
    std::optional<time_point> leavingSince() const;

    /** End of the pause, or of the trial after it, that is in progress at @p now. */
    std::optional<time_point> pausedUntil(time_point now) const;

private:
    std::optional<time_point> m_leavingSince;
    /** End of the last pause; reset when the server has answered a request after it. */
    std::optional<time_point> m_pauseEndsAt;
    /** Set while the first request after a pause has no response; others follow at this time. */
    std::optional<time_point> m_trialEndsAt;
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

    /** Returns the state of the incarnation of server @p id that started at @p startUnixMs; a later one starts anew. */
    backend_availability_ptr find(const std::string &id, std::int64_t startUnixMs);

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
