#include "requestauthorizer.h"

#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/platform/exchangeheaders.h"

#include <algorithm>
#include <utility>

namespace cardamomdeck {

namespace {

/** Number of workspaces that the log line about unusable keys names. */
constexpr std::size_t maxLoggedWorkspaces = 10;

void logUnusableKeys(const unusable_keys &unusable, std::uint64_t configVersion)
{
    if (unusable == unusable_keys()) {
        return;
    }
    std::string names;
    for (std::size_t i = 0; i < std::min(maxLoggedWorkspaces, unusable.workspaces.size()); ++i) {
        names += (names.empty() ? "" : ",") + unusable.workspaces[i];
    }
    log_line("workspace_keys_unusable")
        .add("config", configVersion)
        .add("ambiguous", unusable.ambiguous)
        .add("malformed", unusable.malformed)
        .add("workspaces", names)
        .add("workspace_count", unusable.workspaces.size())
        .warn();
}

}

bool rejection_log_limiter::tryAcquire(time_point now)
{
    if (now >= m_periodEndsAt) {
        m_periodEndsAt = now + period;
        m_lines = 0;
    }
    if (m_lines >= maxLinesPerPeriod) {
        ++m_refused;
        return false;
    }
    ++m_lines;
    return true;
}

std::uint64_t rejection_log_limiter::takeRefused()
{
    return std::exchange(m_refused, 0);
}

void request_authorizer::applyConfig(const traffic_config_ptr &config)
{
    m_configVersion = config->version;
    m_workspaces = workspace_table(config);
    logUnusableKeys(m_workspaces.unusableKeys(), m_configVersion);
}

authorization request_authorizer::authorize(http_request &request, const traffic_rule &rule)
{
    authorization granted;
    if (!m_workspaces.requiresKeys()) {
        return granted;
    }
    if (!rule.anonymous) {
        const platform::caller_key key = platform::decodeCallerKey(request);
        if (key.rejection) {
            return reject(request, rule, *key.rejection);
        }
        key_lookup found = m_workspaces.find(key.text);
        if (found.rejection) {
            return reject(request, rule, *found.rejection);
        }
        granted.workspace = std::move(found.workspace);
    }
    platform::removeWorkspaceHeaders(request);
    return granted;
}

authorization request_authorizer::reject(const http_request &request, const traffic_rule &rule, key_rejection reason)
{
    ++m_rejections[reason];
    if (m_logLimiter.tryAcquire(steady::now())) {
        log_line("key_rejected")
            .add("id", platform::decodeCallerRequest(request).requestId)
            .add("reason", nameOf(reason))
            .add("rule", rule.name)
            .add("config", m_configVersion)
            .add("unlogged", m_logLimiter.takeRefused())
            .info();
    }
    return {reason, nullptr};
}

void request_authorizer::appendMetrics(std::string &text) const
{
    if (m_workspaces.requiresKeys() || !m_rejections.empty()) {
        appendMetric(text, "workspaces", "", static_cast<double>(m_workspaces.workspaceCount()));
        appendMetric(text, "workspace_keys", "", static_cast<double>(m_workspaces.keyCount()));
    }
    for (const auto &[reason, count] : m_rejections) {
        appendMetric(
            text, "keys_rejected_total", "reason=\"" + std::string(nameOf(reason)) + "\"", static_cast<double>(count));
    }
}

}
