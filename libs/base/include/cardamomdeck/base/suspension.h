/**
 * @file
 * Notices that the process did not run for some time: the machine was suspended, during which the monotonic clock
 * stands still, or the process was stopped or starved.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <functional>

namespace cardamomdeck {

/** Time for which the machine has been suspended since its start, up to a constant. */
nanoseconds suspendedTotal();

/** Tells for how long the machine was suspended between two looks. */
class suspension_detector
{
public:
    /** Shorter ones cannot be told from the distance between two readings of the clocks. */
    static constexpr milliseconds minSuspension{300};

    /** A meter of what @p total returns, counted from now on. */
    explicit suspension_detector(std::function<nanoseconds()> total = suspendedTotal);

    /** Length of the suspension since the last look; zero mostly. */
    nanoseconds poll();

private:
    std::function<nanoseconds()> m_total;
    nanoseconds m_lastTotal;
};

/**
 * Tells for how long a process that looks at it regularly did not run. What arrived meanwhile waits in its sockets and
 * looks younger than it is.
 */
class pause_detector
{
public:
    /** Time between two looks above which the process counts as stopped; a starved one looks each second. */
    static constexpr milliseconds minPause{2000};
    /**
     * Time after a pause in which no further one is told. What follows a pause costs work, and a process that is
     * starved would be kept so by it.
     */
    static constexpr milliseconds pauseCooldown{2900};

    /** A meter that was looked at for the last time at @p now. */
    explicit pause_detector(time_point now, suspension_detector suspension = suspension_detector());

    /** Length of the pause that has ended just before @p now; zero mostly. */
    nanoseconds poll(time_point now);

private:
    time_point m_lastPollAt;
    time_point m_cooldownEndsAt;
    suspension_detector m_suspension;
};

}
