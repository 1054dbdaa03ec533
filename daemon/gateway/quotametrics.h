/**
 * @file
 * Metrics, status responses and log limits of quotas.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/quota/quotaissuer.h"
#include "cardamomdeck/quota/quotapolicy.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** State of one workspace with a limit at this entry. */
struct workspace_quota
{
    std::string workspace;
    quota_limit limit;
    /** The entry that granted or refused tokens last, or the first candidate. */
    std::string issuer;
    /** Tokens in the bucket if this entry is the issuer. */
    std::optional<double> bucketTokens;
    std::size_t stock = 0;
    double demand = 0;
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t fallback = 0;
    /** Time since the last response of an issuer. */
    std::optional<milliseconds> responseAge;

    bool operator==(const workspace_quota &) const = default;
};

/** State of the quotas at this entry. */
struct quota_status
{
    std::vector<workspace_quota> workspaces;
    issuer_totals totals;
    /** Share of the limits that this entry may issue. */
    double issuedShare = 1.0;

    bool operator==(const quota_status &) const = default;
};

/** Appends the metrics in Prometheus text format; nothing while no workspace has a limit. */
void appendQuotaMetrics(std::string &text, const quota_status &status);

/** The response to GET /v1/quotas of the entry called @p entry. */
nlohmann::json quotaJson(const quota_status &status, const std::string &entry);

/** Limits the log lines of rejected requests, so that those of one workspace do not displace all others. */
class quota_log_limiter
{
public:
    /** A fifth of the lines that an entry may log. */
    static constexpr std::uint32_t maxLinesPerSecond = 100;

    /** Returns true if a line may be logged at @p now. */
    bool tryAcquire(time_point now);

    /** Number of lines that were not logged since the last call. */
    std::uint64_t takeSuppressed();

private:
    time_point m_secondEndsAt;
    std::uint32_t m_lines = 0;
    std::uint64_t m_suppressed = 0;
};

}
