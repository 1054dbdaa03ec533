/**
 * @file
 * The pause that a backend server has asked for.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"

#include <optional>

namespace cardamomdeck {

/** No request is sent in a pause; after it one request goes alone, and the others follow once it has been answered. */
class request_pause
{
public:
    /** Time after which the other requests follow even if the first one after a pause has no response yet. */
    static constexpr milliseconds trialTimeout{1000};

    /**
     * Records that the server wants no requests for @p duration from @p now on. The end of the pause is delayed by a
     * random time, so that entries do not return at one moment. Returns false if the present pause lasts longer.
     */
    bool record(time_point now, milliseconds duration, random_source &random);

    /** Records a response that is no rejection; it ends the trial after a pause. */
    void recordResponse();

    /** Records a request without a response; another one may be tried. */
    void recordFailure();

    /** Must be called immediately before a request is sent; returns false if it must not be sent. */
    bool tryStartRequest(time_point now);

    /** End of the pause, or of the trial after it, that is in progress at @p now. */
    std::optional<time_point> endsAt(time_point now) const;

    /** Ends a pause that was last asked for before @p time. */
    void endIfRecordedBefore(time_point time);

private:
    time_point m_recordedAt;
    /** End of the last pause; reset when the server has answered a request after it. */
    std::optional<time_point> m_pauseEndsAt;
    /** Set while the first request after a pause has no response; others follow at this time. */
    std::optional<time_point> m_trialEndsAt;
};

}
