/**
 * @file
 * The part of the configuration that the request path needs, as one immutable value.
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

/** Services, back ends, rules and members at one generation. */
struct routing_view
{
    /** Offset of the last record that the view contains. */
    log_offset generation = 0;
    std::map<std::string, service_spec> services;
    /** Back ends by service. */
    std::map<std::string, std::vector<backend_spec>> backends;
    /** Longest prefix first. */
    std::vector<rule_spec> rules;
    std::map<std::string, entry_member> members;

    bool operator==(const routing_view &) const = default;
};

using routing_view_ptr = std::shared_ptr<const routing_view>;

/** Builds the view of @p state. */
routing_view_ptr makeRoutingView(const config_state &state);

/** The rule with the longest prefix of @p path, or null. */
const rule_spec *matchRule(const routing_view &view, std::string_view path);

}
