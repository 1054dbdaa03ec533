/**
 * @file
 * Index of the keys of a configuration's workspaces.
 */
#pragma once

#include "cardamomdeck/fleet/trafficconfig.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** A workspace that shares ownership of its configuration. */
using workspace_ptr = std::shared_ptr<const workspace>;

/** Why the key of a request is rejected. */
enum class key_rejection {
    missing,
    repeated,
    malformed,
    unknown,
    ambiguous, /**< Several workspaces have the key. */
};

/** The name of @p rejection in logs and metrics. */
std::string_view nameOf(key_rejection rejection);

/** Returns whether @p key consists of 1 to 255 printable ASCII characters other than the blank. */
bool isWellFormedKey(std::string_view key);

/** Result of the lookup of a key: either a workspace or the reason for the rejection. */
struct key_lookup
{
    workspace_ptr workspace;
    std::optional<key_rejection> rejection;
};

/** Keys of one configuration that no request can use. */
struct unusable_keys
{
    std::size_t ambiguous = 0;
    std::size_t malformed = 0;
    /** Names of the workspaces that have such keys, sorted; without the keys, which are secrets. */
    std::vector<std::string> workspaces;

    bool operator==(const unusable_keys &) const = default;
};

/** Index of one configuration; a lookup takes one hash lookup, whatever the number of workspaces and keys. */
class workspace_table
{
public:
    /** Creates the index of an empty configuration. */
    workspace_table();

    /** Creates the index of @p config, which must not be null. */
    explicit workspace_table(traffic_config_ptr config);

    /** The workspace that has @p key, or the reason why there is none. */
    key_lookup find(std::string_view key) const;

    /** Returns whether requests need a key; see traffic_config::requiresKeys. */
    bool requiresKeys() const;

    std::size_t workspaceCount() const;

    /** Number of keys that identify a workspace. */
    std::size_t keyCount() const;

    const unusable_keys &unusableKeys() const;

private:
    traffic_config_ptr m_config;
    /** The keys refer to texts of m_config. A key that several workspaces have maps to null. */
    absl::flat_hash_map<std::string_view, const workspace *> m_workspaces;
    unusable_keys m_unusableKeys;
};

}
