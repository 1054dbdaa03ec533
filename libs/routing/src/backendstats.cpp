#include "cardamomdeck/routing/backendstats.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Time constant of the decay of a latency estimate, in milliseconds. */
constexpr double latencyDecayMs = 100.0;

/** Time constant of the decay of a load report, in milliseconds. */
constexpr double reportDecayMs = 20.0;

/** Number of successes after which the warm-up ends. */
constexpr std::uint32_t warmUpSuccesses = 16;

/** Time in milliseconds after which the warm-up ends even if the backend server was never chosen. */
constexpr double maxWarmUpMs = 1500.0;

/** Cost factor at the start of the warm-up. */
constexpr double maxWarmUpFactor = 3.0;

}

backend_stats::backend_stats(backend_spec backend, bool crossZone, time_point now)
    : m_spec(std::move(backend))
    , m_crossZone(crossZone)
    , m_ejectedUntil(now)
    , m_warmUpStartedAt(now)
{
}

const backend_spec &backend_stats::spec() const
{
    return m_spec;
}

void backend_stats::reconfigure(backend_spec backend, bool crossZone, time_point now)
{
    if (backend.address != m_spec.address) {
        m_latencyAt.reset();
        m_loadAt.reset();
        m_successes = 0;
        m_warmUpStartedAt = now;
        m_consecutiveFailures = 0;
        m_ejections = 0;
        m_ejectedUntil = now;
    }
    m_spec = std::move(backend);
    m_crossZone = crossZone;
}

void backend_stats::attemptStarted(time_point now)
{
    m_attemptStarts.push_back(now);
}

void backend_stats::attemptEnded(const attempt_summary &summary)
{
    const auto start = std::ranges::find(m_attemptStarts, summary.startedAt);
    if (start != m_attemptStarts.end()) {
        m_attemptStarts.erase(start);
    }
    if (summary.reportedLoad) {
        recordLoadReport(*summary.reportedLoad, summary.finishedAt);
    }
    switch (summary.kind) {
    case attempt_outcome::success:
        recordSuccess(summary);
        return;
    case attempt_outcome::refused:
    case attempt_outcome::failed:
        // The latency of a failed attempt does not indicate the service time.
        ++m_consecutiveFailures;
        return;
    case attempt_outcome::cancelled:
        recordLatency(summary);
        return;
    }
}

void backend_stats::recordLoadReport(std::uint32_t load, time_point now)
{
    m_otherEntriesLoad = std::max(0.0, static_cast<double>(load) - static_cast<double>(m_attemptStarts.size()));
    m_reportedLoad = load;
    m_loadAt = now;
}

std::uint32_t backend_stats::inFlight() const
{
    return static_cast<std::uint32_t>(m_attemptStarts.size());
}

bool backend_stats::isCrossZone() const
{
    return m_crossZone;
}

double backend_stats::expectedServiceMs(time_point now, double typicalMs) const
{
    double expected = typicalMs;
    if (m_latencyAt) {
        const double age = std::max(0.0, toMilliseconds(now - *m_latencyAt));
        const double decayFactor = std::exp(-age / latencyDecayMs);
        // An old estimate approaches the typical latency of the service.
        expected = m_latencyMs * decayFactor + typicalMs * (1.0 - decayFactor);
    }
    if (!m_attemptStarts.empty()) {
        expected = std::max(expected, toMilliseconds(now - m_attemptStarts.front()));
    }
    return expected;
}

double backend_stats::otherEntriesLoad(time_point now) const
{
    if (!m_loadAt) {
        return 0;
    }
    const double age = std::max(0.0, toMilliseconds(now - *m_loadAt));
    return m_otherEntriesLoad * std::exp(-age / reportDecayMs);
}

std::optional<std::uint32_t> backend_stats::reportedLoad(time_point since) const
{
    if (!m_loadAt || *m_loadAt < since) {
        return std::nullopt;
    }
    return m_reportedLoad;
}

std::uint32_t backend_stats::consecutiveFailures() const
{
    return m_consecutiveFailures;
}

std::optional<time_point> backend_stats::lastUpdatedAt() const
{
    if (m_loadAt && m_latencyAt) {
        return std::max(*m_loadAt, *m_latencyAt);
    }
    return m_loadAt ? m_loadAt : m_latencyAt;
}

void backend_stats::eject(time_point until)
{
    m_ejectedUntil = until;
    ++m_ejections;
}

bool backend_stats::isEjected(time_point now) const
{
    return now < m_ejectedUntil;
}

bool backend_stats::isOnTrial() const
{
    return m_ejections > 0;
}

std::uint32_t backend_stats::ejections() const
{
    return m_ejections;
}

double backend_stats::warmUpFactor(time_point now) const
{
    const double progressBySuccesses = static_cast<double>(m_successes) / warmUpSuccesses;
    const double progressByTime = toMilliseconds(now - m_warmUpStartedAt) / maxWarmUpMs;
    const double progress = std::clamp(std::max(progressBySuccesses, progressByTime), 0.0, 1.0);
    return maxWarmUpFactor - (maxWarmUpFactor - 1.0) * progress;
}

void backend_stats::recordLatency(const attempt_summary &summary)
{
    const double latency = toMilliseconds(summary.finishedAt - summary.startedAt);
    if (!m_latencyAt || latency >= m_latencyMs) {
        m_latencyMs = latency;
    } else {
        const double age = std::max(0.0, toMilliseconds(summary.finishedAt - *m_latencyAt));
        const double decayFactor = std::exp(-std::max(age, 1.0) / latencyDecayMs);
        m_latencyMs = m_latencyMs * decayFactor + latency * (1.0 - decayFactor);
    }
    m_latencyAt = summary.finishedAt;
}

void backend_stats::recordSuccess(const attempt_summary &summary)
{
    recordLatency(summary);
    if (m_ejections > 0) {
        m_successes = 0;
        m_warmUpStartedAt = summary.finishedAt;
    }
    m_consecutiveFailures = 0;
    m_ejections = 0;
    m_successes = std::min(m_successes + 1, warmUpSuccesses);
}

}
