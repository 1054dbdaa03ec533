/**
 * @file
 * Finds the rules of a configuration without a walk over all of them.
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

/** A rule that keeps its configuration alive. */
using traffic_rule_ptr = std::shared_ptr<const traffic_rule>;

/** An index of one configuration; a look-up costs a few hashes, however many rules there are. */
class rule_table
{
public:
    /** The index of an empty configuration. */
    rule_table();

    /** The index of @p config, which is not null. */
    explicit rule_table(traffic_config_ptr config);

    /** The rule of @p host with the longest prefix of @p path, or null. Host names are compared without a port. */
    traffic_rule_ptr find(std::string_view host, std::string_view path) const;

    /** The rule called @p name, or null. */
    const traffic_rule *findByName(std::string_view name) const;

    /** The most urgent priority among the rules that send requests to @p service; the least urgent for none. */
    std::uint32_t mostUrgentPriority(std::string_view service) const;

private:
    struct host_rules
    {
        /** Lengths of the prefixes, longest first; there are few, as most rules have paths of the same depth. */
        std::vector<std::size_t> prefixLengths;
        absl::flat_hash_map<std::string_view, const traffic_rule *> byPrefix;
    };

    traffic_config_ptr m_config;
    /** By name in lower case. Texts of keys belong to the configuration, but for these. */
    absl::flat_hash_map<std::string, host_rules> m_hosts;
    absl::flat_hash_map<std::string_view, const traffic_rule *> m_names;
    absl::flat_hash_map<std::string_view, std::uint32_t> m_priorities;
};

}
