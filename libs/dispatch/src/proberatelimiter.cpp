#include "cardamomdeck/dispatch/proberatelimiter.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Capacity of the token bucket, in milliseconds of this entry's rate; a burst of requests lasts a few seconds. */
constexpr double maxBurstMs = 8000.0;

/** Share of the limit that is used; entries that have not discovered each other yet use too large shares. */
constexpr double safetyFactor = 0.8;

/** Largest share of the tokens that one request may acquire. */
constexpr double maxShareOfTokens = 0.1;

constexpr double millisecondsPerSecond = 1000.0;

}

probe_rate_limiter::probe_rate_limiter(double probesPerSecondPerBackend)
    : m_probesPerSecondPerBackend(probesPerSecondPerBackend)
{
}

std::size_t
probe_rate_limiter::acquireUpTo(std::size_t probeCount, std::size_t backends, std::size_t entries, time_point now)
{
    const double tokensPerMs = safetyFactor * m_probesPerSecondPerBackend * static_cast<double>(backends)
                               / static_cast<double>(std::max<std::size_t>(1, entries)) / millisecondsPerSecond;
    const double refill = tokensPerMs * std::min(maxBurstMs, toMilliseconds(now - m_updated));
    m_tokens = std::min(m_tokens + refill, tokensPerMs * maxBurstMs);
    m_updated = now;
    // Limits a request to a share of the tokens, so that the requests of a burst share them.
    const double available = std::max(std::min(1.0, m_tokens), std::floor(m_tokens * maxShareOfTokens));
    const auto granted = std::min(probeCount, static_cast<std::size_t>(available));
    m_tokens -= static_cast<double>(granted);
    return granted;
}

}
