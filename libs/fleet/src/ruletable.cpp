#include "cardamomdeck/fleet/ruletable.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>

namespace cardamomdeck {

namespace {

/** Priorities of requests that need a key. */
struct workspace_priorities
{
    /** Most urgent priority of the workspaces that have one. */
    std::optional<std::uint32_t> own;
    /** Some requests have the priority of their rule. */
    bool ofRule = false;
};

workspace_priorities prioritiesOf(const traffic_config &config)
{
    workspace_priorities priorities;
    priorities.ofRule = !config.requiresKeys;
    for (const auto &[name, owner] : config.workspaces) {
        if (owner.keys.empty()) {
            continue;
        }
        if (owner.priority) {
            priorities.own = std::min(priorities.own.value_or(*owner.priority), *owner.priority);
        } else {
            priorities.ofRule = true;
        }
    }
    return priorities;
}

std::uint32_t mostUrgent(const traffic_rule &rule, const workspace_priorities &workspaces)
{
    std::uint32_t priority = std::numeric_limits<std::uint32_t>::max();
    if (rule.anonymous || workspaces.ofRule) {
        priority = rule.priority;
    }
    if (!rule.anonymous && workspaces.own) {
        priority = std::min(priority, *workspaces.own);
    }
    return priority;
}

}

rule_table::rule_table()
    : rule_table(std::make_shared<traffic_config>())
{
}

rule_table::rule_table(traffic_config_ptr config)
    : m_config(std::move(config))
{
    const workspace_priorities workspaces = prioritiesOf(*m_config);
    for (const traffic_rule &rule : m_config->rules) {
        host_rules &rules = m_hosts[absl::AsciiStrToLower(rule.host)];
        rules.byPrefix.try_emplace(rule.pathPrefix, &rule);
        rules.prefixLengths.push_back(rule.pathPrefix.size());
        m_names.try_emplace(rule.name, &rule);
        const std::uint32_t mostUrgentOfRule = mostUrgent(rule, workspaces);
        for (const weighted_service &weighted : rule.services) {
            const auto [priority, added] = m_priorities.try_emplace(weighted.service, mostUrgentOfRule);
            priority->second = std::min(priority->second, mostUrgentOfRule);
        }
    }
    for (auto &[host, rules] : m_hosts) {
        std::ranges::sort(rules.prefixLengths, std::greater());
        const auto duplicates = std::unique(rules.prefixLengths.begin(), rules.prefixLengths.end());
        rules.prefixLengths.erase(duplicates, rules.prefixLengths.end());
    }
}

traffic_rule_ptr rule_table::find(std::string_view host, std::string_view path) const
{
    const std::string_view hostName = host.substr(0, host.find(':'));
    const auto found = m_hosts.find(absl::AsciiStrToLower({hostName.data(), hostName.size()}));
    if (found == m_hosts.end()) {
        return nullptr;
    }
    for (const std::size_t length : found->second.prefixLengths) {
        if (length > path.size()) {
            continue;
        }
        const auto rule = found->second.byPrefix.find(path.substr(0, length));
        if (rule != found->second.byPrefix.end()) {
            return {m_config, rule->second};
        }
    }
    return nullptr;
}

const traffic_rule *rule_table::findByName(std::string_view name) const
{
    const auto found = m_names.find(name);
    return found == m_names.end() ? nullptr : found->second;
}

std::uint32_t rule_table::mostUrgentPriority(std::string_view service) const
{
    const auto found = m_priorities.find(service);
    return found == m_priorities.end() ? std::numeric_limits<std::uint32_t>::max() : found->second;
}

}
