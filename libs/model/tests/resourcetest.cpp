#include "cardamomdeck/model/resource.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace cardamomdeck;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

std::string validationErrors(resource_kind kind, const std::string &name, const json &body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(normalizeResource(kind, name, body));
            return std::string();
        },
        [](const failure &error) { return error.detail; },
        [] { return std::string("?"); });
}

}

Test(resource, name_is_the_only_required_field_of_a_service)
{
    cr_assert(validationErrors(resource_kind::service, "lots", json::object()).empty());
}

Test(resource, all_validation_errors_are_reported_together)
{
    const json body = {{"strategy", "magic"}, {"timeout_ms", 0}, {"slots_per_backend", -1}, {"colour", 1}};
    const std::string errors = validationErrors(resource_kind::service, "Lots!", body);
    for (const char *expectedText :
         {"name", "strategy", "timeout_ms", "slots_per_backend", "colour is not a known field"}) {
        cr_assert(errors.find(expectedText) != std::string::npos, "%s in %s", expectedText, errors.c_str());
    }
}

Test(resource, numbers_out_of_range_or_of_another_type_are_rejected)
{
    for (const json &invalidValue : {json(1.5), json("5"), json(UINT64_MAX), json(nullptr), json(601000)}) {
        cr_assert(not validationErrors(resource_kind::service, "lots", {{"timeout_ms", invalidValue}}).empty(),
                  "%s",
                  invalidValue.dump().c_str());
    }
}

Test(resource, name_that_differs_from_the_path_is_rejected)
{
    cr_assert(not validationErrors(resource_kind::service, "lots", {{"name", "other"}}).empty());
}

Test(resource, backend_and_rule_are_unchanged_after_a_round_trip)
{
    const json backend = {{"service", "lots"}, {"address", "127.0.0.1:80"}, {"zone", "a"}};
    cr_assert(validationErrors(resource_kind::backend, "lots-1", backend).empty());
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(first, normalizeResource(resource_kind::backend, "lots-1", backend));
            BOOST_LEAF_AUTO(second, normalizeResource(resource_kind::backend, "lots-1", first));
            cr_assert(first == second);
            BOOST_LEAF_AUTO(rule, ruleFromJson({{"name", "r"}, {"path_prefix", "/lots"}, {"service", "lots"}}));
            BOOST_LEAF_AUTO(decodedRule, ruleFromJson(toJson(rule)));
            cr_assert(rule == decodedRule);
            return {};
        },
        [] { cr_assert_fail("a valid resource was rejected"); });
}
