/**
 * @file
 * Index of the rules of a configuration.
 */
#pragma once

#include "cardamomdeck/fleet/trafficconfig.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** A rule that shares ownership of its configuration. */
using traffic_rule_ptr = std::shared_ptr<const traffic_rule>;

/** Index of one configuration; a lookup takes a few hash lookups, whatever the number of rules. */
class rule_table
{
public:
    /** Creates the index of an empty configuration. */
    rule_table();

    /** Creates the index of @p config, which must not be null. */
    explicit rule_table(traffic_config_ptr config);

    /**
     * The rule of @p host with the longest matching prefix of @p path, or null. Host names are compared without port
     * and regardless of case.
     */
    traffic_rule_ptr find(std::string_view host, std::string_view path) const;

    /** The rule named @p name, or null. */
    const traffic_rule *findByName(std::string_view name) const;

    /**
     * The most urgent priority (lowest number) that a request to @p service can have, by its rules and by the
     * workspaces whose priority replaces that of a rule; the least urgent if no request can reach the service.
     */
    std::uint32_t mostUrgentPriority(std::string_view service) const;

private:
    struct host_rules
    {
        /**
         * Distinct lengths of the prefixes, longest first; there are few, because most rules have paths of the same
         * depth.
         */
        std::vector<std::size_t> prefixLengths;
        absl::flat_hash_map<std::string_view, const traffic_rule *> byPrefix;
    };

    traffic_config_ptr m_config;
    /** By host name in lower case. These keys own their text; the keys of the other maps refer to texts of m_config. */
    absl::flat_hash_map<std::string, host_rules> m_hosts;
    absl::flat_hash_map<std::string_view, const traffic_rule *> m_names;
    absl::flat_hash_map<std::string_view, std::uint32_t> m_priorities;
};

}
