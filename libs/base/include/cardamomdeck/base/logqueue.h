/**
 * @file
 * Asynchronous logging: a separate thread writes the lines, so that the threads that log never wait for the output.
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

/** Token bucket that limits the rate of log lines. Not thread-safe. */
class log_rate_limiter
{
public:
    /** Refill rate and capacity of the bucket. */
    static constexpr double maxLinesPerSecond = 500;
    static constexpr double maxBurstLines = 1000;

    /** Takes a token at @p now; returns false if the bucket is empty. */
    bool tryAcquire(time_point now);

private:
    double m_tokens = maxBurstLines;
    time_point m_lastRefillAt;
};

/**
 * Bounded queue between the threads that log and the writer thread. Lines that
 * exceed the rate limit or the capacity are dropped and counted; the writer
 * thread reports their number in the log.
 */
class log_queue
{
public:
    using writer = std::function<void(log_severity, const std::string &)>;

    /** Starts the writer thread, which passes each line to @p write. */
    explicit log_queue(writer write);

    /** Writes the remaining lines and stops the writer thread. */
    ~log_queue();
    log_queue(const log_queue &) = delete;
    log_queue &operator=(const log_queue &) = delete;

    /** Adds a line; returns false if it was dropped. Never blocks; thread-safe. */
    bool push(log_severity severity, std::string text);

    /** Number of lines dropped so far. */
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
    log_rate_limiter m_rateLimiter;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::atomic<std::uint32_t> m_wakeCount = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

}
