#include "cardamomdeck/fleet/workspacetable.h"

#include <algorithm>
#include <set>

namespace cardamomdeck {

std::string_view nameOf(key_rejection rejection)
{
    switch (rejection) {
    case key_rejection::missing:
        return "missing";
    case key_rejection::repeated:
        return "repeated";
    case key_rejection::malformed:
        return "malformed";
    case key_rejection::unknown:
        return "unknown";
    case key_rejection::ambiguous:
        return "ambiguous";
    }
    return "unknown";
}

bool isWellFormedKey(std::string_view key)
{
    constexpr std::size_t maxKeyBytes = 255;
    return !key.empty() && key.size() <= maxKeyBytes
           && std::ranges::all_of(key, [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

workspace_table::workspace_table()
    : workspace_table(std::make_shared<traffic_config>())
{
}

workspace_table::workspace_table(traffic_config_ptr config)
    : m_config(std::move(config))
{
    std::size_t keys = 0;
    for (const auto &[name, owner] : m_config->workspaces) {
        keys += owner.keys.size();
    }
    m_workspaces.reserve(keys);
    std::set<std::string> affected;
    for (const auto &[name, owner] : m_config->workspaces) {
        for (const std::string &key : owner.keys) {
            if (!isWellFormedKey(key)) {
                ++m_unusableKeys.malformed;
                affected.insert(name);
                continue;
            }
            const auto [position, added] = m_workspaces.try_emplace(key, &owner);
            if (added || position->second == &owner) {
                continue;
            }
            // It cannot be told whose request it is, and either owner may have lost the key to the other one.
            if (position->second != nullptr) {
                ++m_unusableKeys.ambiguous;
                affected.insert(position->second->name);
                position->second = nullptr;
            }
            affected.insert(name);
        }
    }
    m_unusableKeys.workspaces.assign(affected.begin(), affected.end());
}

key_lookup workspace_table::find(std::string_view key) const
{
    const auto found = m_workspaces.find(key);
    if (found == m_workspaces.end()) {
        return {nullptr, key_rejection::unknown};
    }
    if (found->second == nullptr) {
        return {nullptr, key_rejection::ambiguous};
    }
    return {workspace_ptr(m_config, found->second), std::nullopt};
}

bool workspace_table::requiresKeys() const
{
    return m_config->requiresKeys;
}

std::size_t workspace_table::workspaceCount() const
{
    return m_config->workspaces.size();
}

std::size_t workspace_table::keyCount() const
{
    return m_workspaces.size() - m_unusableKeys.ambiguous;
}

const unusable_keys &workspace_table::unusableKeys() const
{
    return m_unusableKeys;
}

}
