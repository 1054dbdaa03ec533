#include "cardamomdeck/replay/simulatedbackend.h"

#include <algorithm>

namespace cardamomdeck {

simulated_backend::simulated_backend(std::uint32_t slots, std::uint32_t maxQueueLength)
    : m_slots(slots)
    , m_maxQueueLength(maxQueueLength)
{
}

void simulated_backend::setBehavior(double slowdownFactor, backend_mode mode)
{
    m_slowdownFactor = slowdownFactor;
    m_mode = mode;
}

submission_result
simulated_backend::submit(std::uint64_t attempt, microseconds serviceTime, time_point now, running_attempt &started)
{
    if (m_mode == backend_mode::fail_fast) {
        return submission_result::failed;
    }
    if (m_running < m_slots) {
        started = start(attempt, serviceTime, now);
        recordLoad(now);
        return submission_result::started;
    }
    if (m_queuedAttempts.size() >= m_maxQueueLength) {
        return submission_result::refused;
    }
    m_queuedAttempts.emplace_back(attempt, serviceTime);
    recordLoad(now);
    return submission_result::queued;
}

std::optional<running_attempt> simulated_backend::finish(time_point now)
{
    --m_running;
    std::optional<running_attempt> next;
    if (!m_queuedAttempts.empty()) {
        const auto [attempt, serviceTime] = m_queuedAttempts.front();
        m_queuedAttempts.pop_front();
        next = start(attempt, serviceTime, now);
    }
    recordLoad(now);
    return next;
}

bool simulated_backend::cancel(std::uint64_t attempt, time_point now)
{
    const auto queuedAttempt
        = std::ranges::find(m_queuedAttempts, attempt, &std::pair<std::uint64_t, microseconds>::first);
    if (queuedAttempt == m_queuedAttempts.end()) {
        return false;
    }
    m_queuedAttempts.erase(queuedAttempt);
    recordLoad(now);
    return true;
}

std::uint32_t simulated_backend::reportedLoad(time_point now, microseconds delay) const
{
    if (m_mode == backend_mode::misreport) {
        return 0;
    }
    const auto firstLater
        = std::ranges::upper_bound(m_history, now - delay, {}, &std::pair<time_point, std::uint32_t>::first);
    return firstLater == m_history.begin() ? 0 : std::prev(firstLater)->second;
}

running_attempt simulated_backend::start(std::uint64_t attempt, microseconds serviceTime, time_point now)
{
    ++m_running;
    const std::chrono::duration<double, std::micro> scaledServiceTime
        = std::chrono::duration<double, std::micro>(serviceTime) * m_slowdownFactor;
    return {attempt, now + std::chrono::duration_cast<nanoseconds>(scaledServiceTime)};
}

void simulated_backend::recordLoad(time_point now)
{
    m_history.emplace_back(now, m_running + static_cast<std::uint32_t>(m_queuedAttempts.size()));
}

}
