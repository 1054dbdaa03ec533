/**
 * @file
 * Hands log lines to a thread that writes them, so that nobody waits for the output.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace cardamomdeck {

/** Severity of a line. */
enum class log_severity {
    info,
    warn,
};

/** Limits the lines of a process over time. */
class log_rate_limiter
{
public:
    /** Lines a second over a long time, and lines that may come at once. */
    static constexpr double maxLinesPerSecond = 500;
    static constexpr double maxBurstLines = 1000;

    /** True when a line may be written at @p now. */
    bool tryAcquire(time_point now);

private:
    double m_tokens = maxBurstLines;
    time_point m_updated;
};

/**
 * A bounded queue between the threads that log and the one that writes. Lines
 * that find it full, or exceed the rate, are dropped and counted; the next
 * line that is written tells how many.
 */
class log_queue
{
public:
    using writer = std::function<void(log_severity, const std::string &)>;

    /** Starts the thread, which passes each line to @p write. */
    explicit log_queue(writer write);

    /** Writes what is left and ends the thread. */
    ~log_queue();
    log_queue(const log_queue &) = delete;
    log_queue &operator=(const log_queue &) = delete;

    /** Adds a line; false when it was dropped. Never waits; any thread may call it. */
    bool push(log_severity severity, std::string text);

    /** Lines dropped so far. */
    std::uint64_t dropped() const;

private:
    struct line
    {
        log_severity severity;
        std::string text;
    };

    static constexpr std::size_t capacity = 4096;

    bool tryAcquireRate();
    bool drop();
    void run();
    void writeAll();

    writer m_write;
    boost::lockfree::queue<line *, boost::lockfree::capacity<capacity>> m_lines;
    std::atomic_flag m_rateLock = ATOMIC_FLAG_INIT;
    log_rate_limiter m_rate;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::atomic<std::uint32_t> m_wakeCount = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

}
