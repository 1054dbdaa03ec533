/**
 * @file
 * Limits the requests that all entries together send to a cold backend server, without coordination between them.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/fleet/fleetcontact.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace cardamomdeck {

/** Requests that a cold server of a service accepts from all entries together. */
struct cold_request_limit
{
    double requestsPerSecond = 0;
    /** Tolerances: factor on the rate, and number of requests. */
    double excess = 1;
    double slack = 0;

    bool operator==(const cold_request_limit &) const = default;
};

/** Maximum number of requests in any one second within @p limit. */
double maxColdRequests(const cold_request_limit &limit);

/**
 * Rate in permits per second, over all entries, that keeps within @p limit. Permits that can be used within one second
 * were drawn in 1.5 s, and their number is Poisson distributed; its mean stays five standard deviations below
 * maxColdRequests().
 */
double coldPermitRate(const cold_request_limit &limit);

/** One entry's part of a limit. */
struct cold_permit_terms
{
    double permitsPerSecond = 0;
    /** Maximum number of requests within cold_server_pacer::burstWindow. */
    std::size_t maxRequests = 1;
    /** Permits drawn before this time are void. */
    time_point validFrom;

    bool operator==(const cold_permit_terms &) const = default;
};

/** Time after its start in which an entry sends nothing to cold servers, because it may not know all entries yet. */
inline constexpr milliseconds coldStartDelay{3000};

/**
 * The part of @p limit of an entry with @p contact that sends to cold servers from @p startsAt on; none if it must not
 * send to them at @p now.
 */
std::optional<cold_permit_terms>
coldPermitTerms(const cold_request_limit &limit, const fleet_contact &contact, time_point startsAt, time_point now);

/**
 * Delay after which a caller may retry when only cold servers without a permit are left. @p untilPermit is the expected
 * time until this entry has a permit for one of them, or until one is no longer cold. Delays are spread over a range as
 * wide as their mean.
 */
milliseconds retryDelayWhileCold(milliseconds untilPermit, random_source &random);

/**
 * The permits of one entry for one cold server. They are drawn from a Poisson process that does not depend on demand,
 * so the permits of all entries add up to one Poisson process.
 */
class cold_server_pacer
{
public:
    /** Time for which a permit can be used. */
    static constexpr milliseconds permitLifetime{500};

    /**
     * Window of cold_permit_terms::maxRequests; longer than 1 s, because requests that are sent at larger intervals may
     * arrive within 1 s.
     */
    static constexpr milliseconds burstWindow{1250};

    /** True if a request may be sent under @p terms at @p now. */
    bool hasPermit(const cold_permit_terms &terms, time_point now, random_source &random);

    /** Must be called immediately before a request is sent; uses up a permit, or returns false if there is none. */
    bool tryUsePermit(const cold_permit_terms &terms, time_point now, random_source &random);

private:
    void drawPermits(const cold_permit_terms &terms, time_point now, random_source &random);

    double m_permitsPerSecond = 0;
    time_point m_nextPermitAt;
    /** Expiry of each permit, earliest first. */
    std::deque<time_point> m_permitsExpireAt;
    /** End of the burst window of each recent request. */
    std::deque<time_point> m_burstWindowsEndAt;
};

}
