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
enum class arrival_result {
    started,
    queued,
    refused,
    failed,
};

/** A request that has started, with the time at which it will be done. */
struct started_work
{
    std::uint64_t attempt = 0;
    time_point doneAt;
};

/** Runs attempts in slots, first come, first served. */
class slot_queue
{
public:
    /** A back end with @p slots slots that lets @p queueLimit attempts wait. */
    slot_queue(std::uint32_t slots, std::uint32_t queueLimit);

    /** From now on the back end behaves like this. */
    void change(double slowness, backend_mode mode);

    /** Takes an attempt; fills @p started when it starts at once. */
    arrival_result arrive(std::uint64_t attempt, microseconds work, time_point now, started_work &started);

    /** Ends an attempt and starts the next one that waits, if any. */
    std::optional<started_work> finish(time_point now);

    /** Drops an attempt that still waits; false when it runs or is done. */
    bool cancel(std::uint64_t attempt, time_point now);

    /** The load reported at @p now, as it was @p delay earlier. */
    std::uint32_t reportedLoad(time_point now, microseconds delay) const;

private:
    started_work start(std::uint64_t attempt, microseconds work, time_point now);
    void noteLoad(time_point now);

    std::uint32_t m_slots;
    std::uint32_t m_queueLimit;
    std::uint32_t m_running = 0;
    std::deque<std::pair<std::uint64_t, microseconds>> m_waiting;
    double m_slowness = 1.0;
    backend_mode m_mode = backend_mode::serve;
    /** Load from each time on. */
    std::vector<std::pair<time_point, std::uint32_t>> m_history;
};

}
