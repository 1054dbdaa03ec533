/**
 * @file
 * Simulated backend server for replays: a fixed number of slots and a FIFO queue.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/replay/trace.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomdeck {

/** Result of submitting an attempt to the backend server. */
enum class submission_result {
    started,
    queued,
    refused,
    failed,
};

/** An attempt that runs in a slot, with its completion time. */
struct running_attempt
{
    std::uint64_t attempt = 0;
    time_point doneAt;
};

/** Runs attempts in slots, in the order of their arrival. */
class simulated_backend
{
public:
    /** Creates a backend server with @p slots slots and a queue of up to @p maxQueueLength attempts. */
    simulated_backend(std::uint32_t slots, std::uint32_t maxQueueLength);

    /**
     * Sets the mode, and the factor on the service time of attempts that start from now on.
     * Running attempts keep their completion time.
     */
    void setBehavior(double slowdownFactor, backend_mode mode);

    /** Submits an attempt; sets @p started if the result is submission_result::started. */
    submission_result submit(std::uint64_t attempt, microseconds serviceTime, time_point now, running_attempt &started);

    /** Frees the slot of a finished attempt; returns the queued attempt that starts in it, if any. */
    std::optional<running_attempt> finish(time_point now);

    /** Removes a queued attempt; returns false if the attempt is running, finished or was never queued. */
    bool cancel(std::uint64_t attempt, time_point now);

    /**
     * Returns the load reported at @p now: the running and queued attempts as of @p delay earlier,
     * or 0 in backend_mode::misreport.
     */
    std::uint32_t reportedLoad(time_point now, microseconds delay) const;

private:
    running_attempt start(std::uint64_t attempt, microseconds serviceTime, time_point now);
    void recordLoad(time_point now);

    std::uint32_t m_slots;
    std::uint32_t m_maxQueueLength;
    std::uint32_t m_running = 0;
    std::deque<std::pair<std::uint64_t, microseconds>> m_queuedAttempts;
    double m_slowdownFactor = 1.0;
    backend_mode m_mode = backend_mode::serve;
    /** Each change of the load with its time, in ascending order. */
    std::vector<std::pair<time_point, std::uint32_t>> m_history;
};

}
