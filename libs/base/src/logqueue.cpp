#include "cardamomdeck/base/logqueue.h"

#include <algorithm>
#include <memory>

namespace cardamomdeck {

bool log_rate_limiter::tryAcquire(time_point now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double refill = toMilliseconds(now - m_lastRefillAt) * maxLinesPerSecond / millisecondsPerSecond;
    m_tokens = std::min(maxBurstLines, m_tokens + refill);
    m_lastRefillAt = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

log_queue::log_queue(writer write)
    : m_write(std::move(write))
    , m_thread([this] { run(); })
{
}

log_queue::~log_queue()
{
    m_stopping = true;
    ++m_wakeCount;
    m_wakeCount.notify_one();
    m_thread.join();
}

bool log_queue::tryAcquireRate()
{
    // While another thread holds the lock, a line passes without a rate check, so that no thread waits.
    if (m_rateLock.test_and_set(std::memory_order_acquire)) {
        return true;
    }
    const bool acquired = m_rateLimiter.tryAcquire(steady::now());
    m_rateLock.clear(std::memory_order_release);
    return acquired;
}

bool log_queue::drop()
{
    m_dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
}

bool log_queue::push(log_severity severity, std::string text)
{
    if (!tryAcquireRate()) {
        return drop();
    }
    auto newLine = std::make_unique<line>(line{severity, std::move(text)});
    if (!m_lines.push(newLine.get())) {
        return drop();
    }
    static_cast<void>(newLine.release());
    ++m_wakeCount;
    m_wakeCount.notify_one();
    return true;
}

std::uint64_t log_queue::dropped() const
{
    return m_dropped.load(std::memory_order_relaxed);
}

void log_queue::run()
{
    for (;;) {
        // m_wakeCount must be read before m_stopping: if the stop is not visible here yet, its increment ends the wait.
        const std::uint32_t lastWakeCount = m_wakeCount;
        const bool stopping = m_stopping;
        writeAll();
        if (stopping) {
            return;
        }
        m_wakeCount.wait(lastWakeCount);
    }
}

void log_queue::writeAll()
{
    line *popped = nullptr;
    while (m_lines.pop(popped)) {
        const std::unique_ptr<line> owned(popped);
        m_write(owned->severity, owned->text);
    }
    const std::uint64_t dropped = m_dropped;
    if (dropped != m_droppedReported) {
        m_write(log_severity::warn, "event=log_lines_dropped count=" + std::to_string(dropped - m_droppedReported));
        m_droppedReported = dropped;
    }
}

}
