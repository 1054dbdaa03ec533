#include "cardamomdeck/dispatch/proberatelimiter.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Probes that may be saved up, in milliseconds of the share; a burst of requests lasts for some seconds. */
constexpr double maxBurstMs = 8000.0;

/** Part of the allowance that is used; entries that do not know of each other take too large shares. */
constexpr double safetyFactor = 0.8;

/** Part of the saved probes that one request may take. */
constexpr double maxShareOfTokens = 0.1;

constexpr double millisecondsPerSecond = 1000.0;

}

probe_rate_limiter::probe_rate_limiter(double perBackend)
    : m_probesPerSecondPerBackend(perBackend)
{
}

std::size_t
probe_rate_limiter::acquireUpTo(std::size_t wanted, std::size_t backends, std::size_t entries, time_point now)
{
    const double perMs = safetyFactor * m_probesPerSecondPerBackend * static_cast<double>(backends)
                         / static_cast<double>(std::max<std::size_t>(1, entries)) / millisecondsPerSecond;
    const double earned = perMs * std::min(maxBurstMs, toMilliseconds(now - m_updated));
    m_tokens = std::min(m_tokens + earned, perMs * maxBurstMs);
    m_updated = now;
    // A part of what is saved at most, so that the requests of a burst share it.
    const double affordable = std::max(std::min(1.0, m_tokens), std::floor(m_tokens * maxShareOfTokens));
    const auto granted = std::min(wanted, static_cast<std::size_t>(affordable));
    m_tokens -= static_cast<double>(granted);
    return granted;
}

}
