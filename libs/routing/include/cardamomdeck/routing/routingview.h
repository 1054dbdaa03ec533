/**
 * @file
 * Immutable snapshot of the part of the configuration that the request path needs.
 */
#pragma once

#include "cardamomdeck/configlog/configstate.h"
#include "cardamomdeck/model/resource.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Services, backend servers, rules and members at one generation of the configuration. */
struct routing_view
{
    /** Log offset of the last record that the view includes. */
    log_offset generation = 0;
    std::map<std::string, service_spec> services;
    /** Backend servers by service name. */
    std::map<std::string, std::vector<backend_spec>> backends;
    /** Sorted by length of the path prefix, longest first. */
    std::vector<rule_spec> rules;
    std::map<std::string, entry_member> members;

    bool operator==(const routing_view &) const = default;
};

using routing_view_ptr = std::shared_ptr<const routing_view>;

/** Builds the view of @p state; skips resources that cannot be decoded. */
routing_view_ptr makeRoutingView(const config_state &state);

/** Returns the rule whose path prefix is the longest match of @p path, or null if none matches. */
const rule_spec *matchRule(const routing_view &view, std::string_view path);

}
