#include "cardamomdeck/dispatch/coldserverpacer.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Time in seconds in which the permits are drawn that can be used within one second. */
constexpr double usableSeconds = 1.0 + std::chrono::duration<double>(cold_server_pacer::permitLifetime).count();

/** Standard deviations between the mean number of usable permits and the maximum. */
constexpr double safetyDeviations = 5.0;

/** Maximum number of permits that are kept; bounds the work for a service with a very high rate. */
constexpr std::size_t maxPermits = 1000;

/** Bounds of the expected time until a permit, for the delay of callers. */
constexpr double minRetryDelayMs = 50.0;
constexpr double maxRetryDelayMs = 2000.0;

/** Time until the next event of a Poisson process. */
nanoseconds drawInterval(double eventsPerSecond, random_source &random)
{
    constexpr double maxSeconds = 3600.0;
    const double interval = -std::log(1.0 - randomUnit(random)) / eventsPerSecond;
    const auto rounded
        = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(std::min(interval, maxSeconds)));
    return std::max(rounded, nanoseconds(1));
}

}

double maxColdRequests(const cold_request_limit &limit)
{
    return std::max(0.0, limit.requestsPerSecond * limit.excess + limit.slack);
}

double coldPermitRate(const cold_request_limit &limit)
{
    // The root of the mean m solves m + safetyDeviations * sqrt(m) = maximum.
    constexpr double halfDeviations = safetyDeviations / 2.0;
    const double rootOfMean = std::sqrt(maxColdRequests(limit) + halfDeviations * halfDeviations) - halfDeviations;
    return std::max(0.0, std::min(rootOfMean * rootOfMean / usableSeconds, limit.requestsPerSecond));
}

std::optional<cold_permit_terms>
coldPermitTerms(const cold_request_limit &limit, const fleet_contact &contact, time_point startsAt, time_point now)
{
    if (!contact.confirmed || now < startsAt) {
        return std::nullopt;
    }
    const auto entries = static_cast<double>(std::max<std::size_t>(1, contact.knownEntries));
    const double maxRequests = std::clamp(std::floor(maxColdRequests(limit) / entries), 1.0, 1.0e6);
    return cold_permit_terms{coldPermitRate(limit) / entries, static_cast<std::size_t>(maxRequests), contact.resumedAt};
}

milliseconds retryDelayWhileCold(milliseconds untilPermit, random_source &random)
{
    const double meanMs = std::clamp(toMilliseconds(untilPermit), minRetryDelayMs, maxRetryDelayMs);
    return milliseconds(std::llround(meanMs * (0.5 + randomUnit(random))));
}

void cold_server_pacer::drawPermits(const cold_permit_terms &terms, time_point now, random_source &random)
{
    // Permits drawn before it have expired or are void.
    const time_point drawnFrom = std::max(now - permitLifetime, terms.validFrom);
    while (!m_permitsExpireAt.empty() && m_permitsExpireAt.front() <= drawnFrom + permitLifetime) {
        m_permitsExpireAt.pop_front();
    }
    while (!m_burstWindowsEndAt.empty() && m_burstWindowsEndAt.front() <= now) {
        m_burstWindowsEndAt.pop_front();
    }
    if (terms.permitsPerSecond <= 0) {
        m_permitsExpireAt.clear();
        return;
    }
    if (terms.permitsPerSecond != m_permitsPerSecond) {
        if (terms.permitsPerSecond < m_permitsPerSecond) {
            m_permitsExpireAt.clear();
        }
        // The process has no memory: at its first use it is taken to have been running, and after a change of its rate
        // it starts anew.
        const time_point startsAt = m_permitsPerSecond > 0 ? now : drawnFrom;
        m_permitsPerSecond = terms.permitsPerSecond;
        m_nextPermitAt = startsAt + drawInterval(m_permitsPerSecond, random);
    }
    if (m_nextPermitAt <= drawnFrom) {
        m_nextPermitAt = drawnFrom + drawInterval(m_permitsPerSecond, random);
    }
    for (; m_nextPermitAt <= now; m_nextPermitAt += drawInterval(m_permitsPerSecond, random)) {
        if (m_permitsExpireAt.size() >= maxPermits) {
            m_nextPermitAt = now;
            continue;
        }
        m_permitsExpireAt.push_back(m_nextPermitAt + permitLifetime);
    }
}

bool cold_server_pacer::hasPermit(const cold_permit_terms &terms, time_point now, random_source &random)
{
    drawPermits(terms, now, random);
    return !m_permitsExpireAt.empty() && m_burstWindowsEndAt.size() < terms.maxRequests;
}

bool cold_server_pacer::tryUsePermit(const cold_permit_terms &terms, time_point now, random_source &random)
{
    if (!hasPermit(terms, now, random)) {
        return false;
    }
    m_permitsExpireAt.pop_front();
    m_burstWindowsEndAt.push_back(now + burstWindow);
    return true;
}

}
