#include "cardamomdeck/replay/slotqueue.h"

#include <algorithm>

namespace cardamomdeck {

slot_queue::slot_queue(std::uint32_t slots, std::uint32_t queueLimit)
    : m_slots(slots)
    , m_queueLimit(queueLimit)
{
}

void slot_queue::change(double slowness, backend_mode mode)
{
    m_slowness = slowness;
    m_mode = mode;
}

arrival_result slot_queue::arrive(std::uint64_t attempt, microseconds work, time_point now, started_work &started)
{
    if (m_mode == backend_mode::fail_fast) {
        return arrival_result::failed;
    }
    if (m_running < m_slots) {
        started = start(attempt, work, now);
        noteLoad(now);
        return arrival_result::started;
    }
    if (m_waiting.size() >= m_queueLimit) {
        return arrival_result::refused;
    }
    m_waiting.emplace_back(attempt, work);
    noteLoad(now);
    return arrival_result::queued;
}

std::optional<started_work> slot_queue::finish(time_point now)
{
    --m_running;
    std::optional<started_work> next;
    if (!m_waiting.empty()) {
        const auto [attempt, work] = m_waiting.front();
        m_waiting.pop_front();
        next = start(attempt, work, now);
    }
    noteLoad(now);
    return next;
}

bool slot_queue::cancel(std::uint64_t attempt, time_point now)
{
    const auto waiting = std::ranges::find(m_waiting, attempt, &std::pair<std::uint64_t, microseconds>::first);
    if (waiting == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(waiting);
    noteLoad(now);
    return true;
}

std::uint32_t slot_queue::reportedLoad(time_point now, microseconds delay) const
{
    if (m_mode == backend_mode::misreport) {
        return 0;
    }
    const auto after
        = std::ranges::upper_bound(m_history, now - delay, {}, &std::pair<time_point, std::uint32_t>::first);
    return after == m_history.begin() ? 0 : std::prev(after)->second;
}

started_work slot_queue::start(std::uint64_t attempt, microseconds work, time_point now)
{
    ++m_running;
    const std::chrono::duration<double, std::micro> slowed
        = std::chrono::duration<double, std::micro>(work) * m_slowness;
    return {attempt, now + std::chrono::duration_cast<nanoseconds>(slowed)};
}

void slot_queue::noteLoad(time_point now)
{
    m_history.emplace_back(now, m_running + static_cast<std::uint32_t>(m_waiting.size()));
}

}
