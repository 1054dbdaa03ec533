#include "cardamomdeck/replay/simulatedbackend.h"

#include <algorithm>

namespace cardamomdeck {

simulated_backend::simulated_backend(std::uint32_t slots, std::uint32_t queueLimit)
    : m_slots(slots)
    , m_maxQueueLength(queueLimit)
{
}

void simulated_backend::setBehavior(double slowness, backend_mode mode)
{
    m_slowdownFactor = slowness;
    m_mode = mode;
}

submission_result
simulated_backend::submit(std::uint64_t attempt, microseconds work, time_point now, running_attempt &started)
{
    if (m_mode == backend_mode::fail_fast) {
        return submission_result::failed;
    }
    if (m_running < m_slots) {
        started = start(attempt, work, now);
        recordLoad(now);
        return submission_result::started;
    }
    if (m_queuedAttempts.size() >= m_maxQueueLength) {
        return submission_result::refused;
    }
    m_queuedAttempts.emplace_back(attempt, work);
    recordLoad(now);
    return submission_result::queued;
}

std::optional<running_attempt> simulated_backend::finish(time_point now)
{
    --m_running;
    std::optional<running_attempt> next;
    if (!m_queuedAttempts.empty()) {
        const auto [attempt, work] = m_queuedAttempts.front();
        m_queuedAttempts.pop_front();
        next = start(attempt, work, now);
    }
    recordLoad(now);
    return next;
}

bool simulated_backend::cancel(std::uint64_t attempt, time_point now)
{
    const auto waiting = std::ranges::find(m_queuedAttempts, attempt, &std::pair<std::uint64_t, microseconds>::first);
    if (waiting == m_queuedAttempts.end()) {
        return false;
    }
    m_queuedAttempts.erase(waiting);
    recordLoad(now);
    return true;
}

std::uint32_t simulated_backend::reportedLoad(time_point now, microseconds delay) const
{
    if (m_mode == backend_mode::misreport) {
        return 0;
    }
    const auto after
        = std::ranges::upper_bound(m_history, now - delay, {}, &std::pair<time_point, std::uint32_t>::first);
    return after == m_history.begin() ? 0 : std::prev(after)->second;
}

running_attempt simulated_backend::start(std::uint64_t attempt, microseconds work, time_point now)
{
    ++m_running;
    const std::chrono::duration<double, std::micro> slowed
        = std::chrono::duration<double, std::micro>(work) * m_slowdownFactor;
    return {attempt, now + std::chrono::duration_cast<nanoseconds>(slowed)};
}

void simulated_backend::recordLoad(time_point now)
{
    m_history.emplace_back(now, m_running + static_cast<std::uint32_t>(m_queuedAttempts.size()));
}

}
