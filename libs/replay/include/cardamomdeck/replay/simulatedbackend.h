/**
 * @file
 * Fake back end for replays: slots with a queue, and nothing else.
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

/** What becomes of a request that reaches the back end. */
enum class submission_result {
    started,
    queued,
    refused,
    failed,
};

/** A request that has started, with the time at which it will be done. */
struct running_attempt
{
    std::uint64_t attempt = 0;
    time_point doneAt;
};

/** Runs attempts in slots, first come, first served. */
class simulated_backend
{
public:
    /** A back end with @p slots slots that lets @p queueLimit attempts wait. */
    simulated_backend(std::uint32_t slots, std::uint32_t queueLimit);

    /** From now on the back end behaves like this. */
    void setBehavior(double slowness, backend_mode mode);

    /** Takes an attempt; fills @p started when it starts at once. */
    submission_result submit(std::uint64_t attempt, microseconds work, time_point now, running_attempt &started);

    /** Ends an attempt and starts the next one that waits, if any. */
    std::optional<running_attempt> finish(time_point now);

    /** Drops an attempt that still waits; false when it runs or is done. */
    bool cancel(std::uint64_t attempt, time_point now);

    /** The load reported at @p now, as it was @p delay earlier. */
    std::uint32_t reportedLoad(time_point now, microseconds delay) const;

private:
    running_attempt start(std::uint64_t attempt, microseconds work, time_point now);
    void recordLoad(time_point now);

    std::uint32_t m_slots;
    std::uint32_t m_maxQueueLength;
    std::uint32_t m_running = 0;
    std::deque<std::pair<std::uint64_t, microseconds>> m_queuedAttempts;
    double m_slowdownFactor = 1.0;
    backend_mode m_mode = backend_mode::serve;
    /** Load from each time on. */
    std::vector<std::pair<time_point, std::uint32_t>> m_history;
};

}
