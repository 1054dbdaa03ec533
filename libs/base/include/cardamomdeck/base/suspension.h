/**
 * @file
 * Detects that the process did not run for a time: the machine was suspended, during which the monotonic clock
 * stands still, or the process was stopped or starved of CPU time.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <functional>

namespace cardamomdeck {

/** Total time that the machine has been suspended since it booted, plus an unknown constant. */
nanoseconds suspendedTotal();

/** Measures for how long the machine was suspended between two polls. */
class suspension_detector
{
public:
    /** Shorter suspensions cannot be distinguished from the time between the readings of the two clocks. */
    static constexpr milliseconds minSuspension{300};

    /** Creates a detector for suspensions from now on; @p readTotal returns the total suspended time. */
    explicit suspension_detector(std::function<nanoseconds()> readTotal = suspendedTotal);

    /** Length of the suspension since the last poll; zero if there was none of at least minSuspension. */
    nanoseconds poll();

private:
    std::function<nanoseconds()> m_readTotal;
    nanoseconds m_lastTotal;
};

/**
 * Measures for how long the process, which polls it regularly, did not run. Messages that arrived during a pause wait
 * in the sockets and seem newer than they are.
 */
class pause_detector
{
public:
    /** Minimum time between two polls that counts as a pause; a starved process still polls every second. */
    static constexpr milliseconds minPause{2000};
    /**
     * Time after a pause in which no further pause is reported, except suspensions. Handling a pause costs CPU time and
     * would keep a starved process starved.
     */
    static constexpr milliseconds pauseCooldown{2900};

    /** Creates a detector whose last poll was at @p now. */
    explicit pause_detector(time_point now, suspension_detector suspension = suspension_detector());

    /** Length of the pause that ended just before @p now; zero if there was none. */
    nanoseconds poll(time_point now);

private:
    time_point m_lastPollAt;
    time_point m_cooldownEndsAt;
    suspension_detector m_suspension;
};

}
