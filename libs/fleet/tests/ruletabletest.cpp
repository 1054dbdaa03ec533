#include "cardamomdeck/fleet/ruletable.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

namespace {

traffic_rule makeRule(const std::string &name, const std::string &prefix, std::uint32_t priority = 1)
{
    traffic_rule rule;
    rule.name = name;
    rule.host = "Mill.example";
    rule.pathPrefix = prefix;
    rule.priority = priority;
    rule.services = {{"lots", 1}};
    return rule;
}

rule_table makeTable(std::vector<traffic_rule> rules)
{
    const auto config = std::make_shared<traffic_config>();
    config->version = 3;
    config->rules = std::move(rules);
    return rule_table(config);
}

}

TestSuite(rule_lookup);

Test(rule_lookup, longest_prefix_of_host_matches)
{
    const rule_table table
        = makeTable({makeRule("lots", "/lots/"), makeRule("old", "/lots/old/"), makeRule("all", "/")});
    cr_assert_eq(table.find("mill.example", "/lots/old/1")->name, "old");
    cr_assert_eq(table.find("MILL.example:80", "/lots/1")->name, "lots");
    cr_assert_eq(table.find("mill.example", "/lots")->name, "all");
    cr_assert_null(table.find("other.example", "/lots/1"));
}

Test(rule_lookup, paths_without_whole_prefix_do_not_match)
{
    const rule_table table = makeTable({makeRule("lots", "/lots/")});
    for (const char *const path : {"/lot", "/lots", "/lotsx/", "", "/"}) {
        cr_assert_null(table.find("mill.example", path));
    }
    cr_assert_null(rule_table().find("mill.example", "/lots/1"));
}

Test(rule_lookup, found_rule_outlives_its_table)
{
    rule_table table = makeTable({makeRule("lots", "/lots/")});
    const traffic_rule_ptr found = table.find("mill.example", "/lots/1");
    table = rule_table();
    cr_assert_eq(found->name, "lots");
}

TestSuite(rule_lookup_with_many_rules);

Test(rule_lookup_with_many_rules, each_rule_is_found)
{
    std::vector<traffic_rule> rules;
    for (int i = 0; i < 1100; ++i) {
        rules.push_back(
            makeRule("r" + std::to_string(i), "/" + std::to_string(i % 37) + "/" + std::to_string(i) + "/"));
    }
    rules.push_back(makeRule("seven", "/7/", 0));
    const rule_table table = makeTable(rules);
    for (const traffic_rule &expected : rules) {
        cr_assert_eq(table.find("mill.example", expected.pathPrefix + "x")->name, expected.name);
        cr_assert_eq(table.findByName(expected.name)->pathPrefix, expected.pathPrefix);
    }
    cr_assert_eq(table.find("mill.example", "/7/9999/x")->name, "seven");
    cr_assert_eq(table.mostUrgentPriority("lots"), 0);
    cr_assert_gt(table.mostUrgentPriority("desk"), 1000);
}
