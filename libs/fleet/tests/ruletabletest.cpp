#include "cardamomdeck/fleet/ruletable.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

traffic_rule rule(const std::string &name, const std::string &prefix, std::uint32_t priority = 1)
{
    traffic_rule value;
    value.name = name;
    value.host = "Mill.example";
    value.pathPrefix = prefix;
    value.priority = priority;
    value.services = {{"lots", 1}};
    return value;
}

rule_table tableOf(std::vector<traffic_rule> rules)
{
    const auto config = std::make_shared<traffic_config>();
    config->version = 3;
    config->rules = std::move(rules);
    return rule_table(config);
}

}

TestSuite(a_request_looks_for_its_rule);

Test(a_request_looks_for_its_rule, the_longest_prefix_of_its_host_holds)
{
    const rule_table table = tableOf({rule("lots", "/lots/"), rule("old", "/lots/old/"), rule("all", "/")});
    cr_assert_eq(table.find("mill.example", "/lots/old/1")->name, "old");
    cr_assert_eq(table.find("MILL.example:80", "/lots/1")->name, "lots");
    cr_assert_eq(table.find("mill.example", "/lots")->name, "all");
    cr_assert_null(table.find("other.example", "/lots/1"));
}

Test(a_request_looks_for_its_rule, paths_that_only_begin_alike_match_nothing)
{
    const rule_table table = tableOf({rule("lots", "/lots/")});
    for (const char *const path : {"/lot", "/lots", "/lotsx/", "", "/"}) {
        cr_assert_null(table.find("mill.example", path));
    }
    cr_assert_null(rule_table().find("mill.example", "/lots/1"));
}

Test(a_request_looks_for_its_rule, the_rule_outlives_its_configuration)
{
    rule_table table = tableOf({rule("lots", "/lots/")});
    const traffic_rule_ptr found = table.find("mill.example", "/lots/1");
    table = rule_table();
    cr_assert_eq(found->name, "lots");
}

TestSuite(a_configuration_has_a_thousand_rules);

Test(a_configuration_has_a_thousand_rules, each_is_found_as_by_a_walk_over_all)
{
    std::vector<traffic_rule> rules;
    for (int i = 0; i < 1100; ++i) {
        rules.push_back(rule("r" + std::to_string(i), "/" + std::to_string(i % 37) + "/" + std::to_string(i) + "/"));
    }
    rules.push_back(rule("seven", "/7/", 0));
    const rule_table table = tableOf(rules);
    for (const traffic_rule &expected : rules) {
        cr_assert_eq(table.find("mill.example", expected.pathPrefix + "x")->name, expected.name);
        cr_assert_eq(table.named(expected.name)->pathPrefix, expected.pathPrefix);
    }
    cr_assert_eq(table.find("mill.example", "/7/9999/x")->name, "seven");
    cr_assert_eq(table.mostUrgentPriority("lots"), 0);
    cr_assert_gt(table.mostUrgentPriority("desk"), 1000);
}
