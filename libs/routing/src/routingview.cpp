#include "cardamomdeck/routing/routingview.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Adds one resource; its body was validated when its record was applied to the configuration state. */
leaf::result<void> addResource(routing_view &view, const resource_key &key, const nlohmann::json &body)
{
    switch (key.kind) {
    case resource_kind::service: {
        BOOST_LEAF_AUTO(service, serviceFromJson(body));
        view.services[key.name] = service;
        break;
    }
    case resource_kind::backend: {
        BOOST_LEAF_AUTO(backend, backendFromJson(body));
        view.backends[backend.service].push_back(backend);
        break;
    }
    case resource_kind::rule: {
        BOOST_LEAF_AUTO(rule, ruleFromJson(body));
        view.rules.push_back(rule);
        break;
    }
    }
    return {};
}

}

routing_view_ptr makeRoutingView(const config_state &state)
{
    auto view = std::make_shared<routing_view>();
    view->generation = state.appliedOffset();
    view->members = state.members();
    for (const auto &item : state.resources()) {
        leaf::try_handle_all([&] { return addResource(*view, item.first, item.second.body); }, [] {});
    }
    std::ranges::stable_sort(
        view->rules, std::ranges::greater(), [](const rule_spec &rule) { return rule.pathPrefix.size(); });
    return view;
}

const rule_spec *matchRule(const routing_view &view, std::string_view path)
{
    const auto matches = [&](const rule_spec &rule) {
        return path.starts_with(rule.pathPrefix);
    };
    const auto found = std::ranges::find_if(view.rules, matches);
    return found == view.rules.end() ? nullptr : &*found;
}

}
