#include "quotametrics.h"

#include "trafficmetrics.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cardamomdeck {

using nlohmann::json;

namespace {

/** Workspaces with metrics of their own; the others are combined, because each is three time series. */
constexpr std::size_t maxMeteredWorkspaces = 100;

/** Escapes a label value; names of workspaces come from the configuration. */
std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

void appendWorkspace(std::string &text, const std::string &label, const workspace_quota &quota)
{
    appendMetric(text, "quota_admitted_total", label, static_cast<double>(quota.admitted));
    appendMetric(text, "quota_rejected_total", label, static_cast<double>(quota.rejected));
    appendMetric(text, "quota_tokens", label, static_cast<double>(quota.stock));
}

}

void appendQuotaMetrics(std::string &text, const quota_status &status)
{
    if (status.workspaces.empty()) {
        return;
    }
    workspace_quota others;
    std::uint64_t fallback = 0;
    for (std::size_t index = 0; index < status.workspaces.size(); ++index) {
        const workspace_quota &quota = status.workspaces[index];
        fallback += quota.fallback;
        if (index < maxMeteredWorkspaces) {
            appendWorkspace(text, "workspace=\"" + escapeLabel(quota.workspace) + "\"", quota);
            continue;
        }
        others.admitted += quota.admitted;
        others.rejected += quota.rejected;
        others.stock += quota.stock;
    }
    if (status.workspaces.size() > maxMeteredWorkspaces) {
        appendWorkspace(text, "workspace=\"\",others=\"true\"", others);
    }
    appendMetric(text, "quota_grants_total", "", static_cast<double>(status.totals.grants));
    appendMetric(text, "quota_grants_refused_total", "", static_cast<double>(status.totals.refusedGrants));
    appendMetric(text, "quota_takeovers_total", "", static_cast<double>(status.totals.takeovers));
    appendMetric(text, "quota_fallback_total", "", static_cast<double>(fallback));
    appendMetric(text, "quota_issued_share", "", status.issuedShare);
}

json quotaJson(const quota_status &status, const std::string &entry)
{
    json workspaces = json::array();
    for (const workspace_quota &quota : status.workspaces) {
        workspaces.push_back({{"workspace", quota.workspace},
                              {"limit_per_s", quota.limit.requestsPerSecond},
                              {"burst", quota.limit.burst},
                              {"issuer", quota.issuer},
                              {"bucket_tokens", quota.bucketTokens ? json(*quota.bucketTokens) : json()},
                              {"stock", quota.stock},
                              {"demand_per_s", quota.demand},
                              {"admitted", quota.admitted},
                              {"rejected", quota.rejected},
                              {"fallback", quota.fallback},
                              {"answer_age_ms", quota.responseAge ? json(quota.responseAge->count()) : json()}});
    }
    return {{"entry", entry}, {"issued_share", status.issuedShare}, {"workspaces", workspaces}};
}

bool quota_log_limiter::tryAcquire(time_point now)
{
    if (now >= m_secondEndsAt) {
        m_secondEndsAt = now + seconds(1);
        m_lines = 0;
    }
    if (m_lines >= maxLinesPerSecond) {
        ++m_suppressed;
        return false;
    }
    ++m_lines;
    return true;
}

std::uint64_t quota_log_limiter::takeSuppressed()
{
    return std::exchange(m_suppressed, 0);
}

}
