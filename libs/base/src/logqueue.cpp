#include "cardamomdeck/base/logqueue.h"

#include <algorithm>
#include <memory>

namespace cardamomdeck {

bool log_rate::take(time_point now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double earned = toMilliseconds(now - m_updated) * linesPerSecond / millisecondsPerSecond;
    m_lines = std::min(burstLines, m_lines + earned);
    m_updated = now;
    if (m_lines < 1.0) {
        return false;
    }
    m_lines -= 1.0;
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
    ++m_signal;
    m_signal.notify_one();
    m_thread.join();
}

bool log_queue::takeRate()
{
    // A line that meets another one just here passes unchecked instead of waiting.
    if (m_rateBusy.test_and_set(std::memory_order_acquire)) {
        return true;
    }
    const bool taken = m_rate.take(steady::now());
    m_rateBusy.clear(std::memory_order_release);
    return taken;
}

bool log_queue::drop()
{
    m_dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
}

bool log_queue::push(log_severity severity, std::string text)
{
    if (!takeRate()) {
        return drop();
    }
    auto entry = std::make_unique<line>(line{severity, std::move(text)});
    if (!m_lines.push(entry.get())) {
        return drop();
    }
    static_cast<void>(entry.release());
    ++m_signal;
    m_signal.notify_one();
    return true;
}

std::uint64_t log_queue::dropped() const
{
    return m_dropped.load(std::memory_order_relaxed);
}

void log_queue::run()
{
    for (;;) {
        // Read in this order: the signal of an end that is not seen here ends the wait.
        const std::uint32_t seen = m_signal;
        const bool stopping = m_stopping;
        writeAll();
        if (stopping) {
            return;
        }
        m_signal.wait(seen);
    }
}

void log_queue::writeAll()
{
    line *taken = nullptr;
    while (m_lines.pop(taken)) {
        const std::unique_ptr<line> owned(taken);
        m_write(owned->severity, owned->text);
    }
    const std::uint64_t dropped = m_dropped;
    if (dropped != m_droppedTold) {
        m_write(log_severity::warn, "event=log_lines_dropped count=" + std::to_string(dropped - m_droppedTold));
        m_droppedTold = dropped;
    }
}

}
