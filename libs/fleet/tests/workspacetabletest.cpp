#include "cardamomdeck/fleet/workspacetable.h"

#include "cardamomdeck/fleet/ruletable.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace cardamomdeck;

namespace {

workspace makeWorkspace(const std::string &name, std::vector<std::string> keys)
{
    workspace made;
    made.name = name;
    made.keys = std::move(keys);
    return made;
}

traffic_config_ptr makeConfig(const std::vector<workspace> &workspaces, std::uint64_t version = 3)
{
    const auto config = std::make_shared<traffic_config>();
    config->version = version;
    config->requiresKeys = true;
    for (const workspace &item : workspaces) {
        config->workspaces.emplace(item.name, item);
    }
    return config;
}

workspace_table makeTable(const std::vector<workspace> &workspaces)
{
    return workspace_table(makeConfig(workspaces));
}

std::string ownerOf(const workspace_table &table, const std::string &key)
{
    const key_lookup found = table.find(key);
    return found.workspace ? found.workspace->name : std::string(nameOf(found.rejection.value()));
}

/** Looks up every key of @p count workspaces with 1 to 9 keys each, and keys that differ from them in one place. */
void checkAllKeys(std::size_t count)
{
    std::vector<workspace> workspaces;
    std::size_t keys = 0;
    for (std::size_t i = 0; i < count; ++i) {
        workspace made = makeWorkspace("w" + std::to_string(i), {});
        for (std::size_t k = 0; k <= i % 9; ++k) {
            made.keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(k) + "-0123456789abcdef");
        }
        keys += made.keys.size();
        workspaces.push_back(std::move(made));
    }
    const workspace_table table = makeTable(workspaces);
    cr_assert_eq(table.workspaceCount(), count);
    cr_assert_eq(table.keyCount(), keys);
    cr_assert(table.unusableKeys() == unusable_keys());
    for (const workspace &expected : workspaces) {
        for (const std::string &key : expected.keys) {
            cr_assert_eq(ownerOf(table, key), expected.name);
            cr_assert_eq(ownerOf(table, key + "0"), "unknown");
            cr_assert_eq(ownerOf(table, key.substr(0, key.size() - 1)), "unknown");
            cr_assert_eq(ownerOf(table, "K" + key.substr(1)), "unknown");
        }
    }
}

}

TestSuite(key_lookup);

// Guards against requests that are charged to another customer, at the size of the largest known deployment.
Test(key_lookup, each_key_of_85_workspaces_is_found)
{
    checkAllKeys(85);
}

// Guards against an index that fails in a deployment that is a hundred times larger.
Test(key_lookup, each_key_of_10000_workspaces_is_found)
{
    checkAllKeys(10'000);
}

// Guards against access with a key that a newer configuration has withdrawn or given to another workspace.
Test(key_lookup, newer_configuration_alone_decides)
{
    workspace_table table = makeTable({makeWorkspace("a", {"moved", "kept", "withdrawn"}), makeWorkspace("b", {})});
    cr_assert_eq(ownerOf(table, "moved"), "a");
    cr_assert_eq(ownerOf(table, "withdrawn"), "a");
    table = makeTable({makeWorkspace("a", {"kept"}), makeWorkspace("b", {"moved"})});
    cr_assert_eq(ownerOf(table, "moved"), "b");
    cr_assert_eq(ownerOf(table, "kept"), "a");
    cr_assert_eq(ownerOf(table, "withdrawn"), "unknown");
    table = workspace_table(makeConfig({makeWorkspace("a", {"kept"})}));
    cr_assert_eq(ownerOf(table, "moved"), "unknown");
}

// Guards against use of freed memory by requests that run while a new configuration is installed.
Test(key_lookup, found_workspace_outlives_its_table)
{
    workspace_table table = makeTable({makeWorkspace("a", {"k"})});
    const workspace_ptr found = table.find("k").workspace;
    table = workspace_table();
    cr_assert_eq(found->name, "a");
    cr_assert_eq(found->keys.front(), "k");
}

Test(key_lookup, nothing_is_found_without_workspaces)
{
    const workspace_table table;
    cr_assert_not(table.requiresKeys());
    cr_assert_eq(ownerOf(table, "k"), "unknown");
    cr_assert_eq(ownerOf(table, ""), "unknown");
    cr_assert(makeTable({}).requiresKeys(), "an empty table refuses all keys");
}

TestSuite(unusable_keys_of_a_configuration);

// Guards against a workspace that uses the key, and thereby the quota and the data, of another one.
Test(unusable_keys_of_a_configuration, key_of_several_workspaces_is_refused)
{
    const workspace_table table = makeTable({makeWorkspace("a", {"shared", "a-only"}),
                                             makeWorkspace("b", {"shared", "b-only"}),
                                             makeWorkspace("c", {"shared", "shared", "c-only"})});
    cr_assert_eq(ownerOf(table, "shared"), "ambiguous");
    cr_assert_eq(ownerOf(table, "a-only"), "a");
    cr_assert_eq(ownerOf(table, "b-only"), "b");
    cr_assert_eq(ownerOf(table, "c-only"), "c");
    cr_assert_eq(table.keyCount(), 3);
    cr_assert(table.unusableKeys() == (unusable_keys{1, 0, {"a", "b", "c"}}));
}

Test(unusable_keys_of_a_configuration, key_that_one_workspace_lists_twice_is_usable)
{
    const workspace_table table = makeTable({makeWorkspace("a", {"k", "k"})});
    cr_assert_eq(ownerOf(table, "k"), "a");
    cr_assert_eq(table.keyCount(), 1);
    cr_assert(table.unusableKeys() == unusable_keys());
}

// Guards against a workspace with an empty key, which would take all requests without one.
Test(unusable_keys_of_a_configuration, empty_and_malformed_keys_match_nothing)
{
    const std::string longest(255, 'x');
    const workspace_table table
        = makeTable({makeWorkspace("a", {"", "with blank", "line\n", "\xc3\xa9", longest + "x", longest, "ok"}),
                     makeWorkspace("b", {""}),
                     makeWorkspace("c", {"c"})});
    cr_assert_eq(ownerOf(table, ""), "unknown");
    cr_assert_eq(ownerOf(table, "with blank"), "unknown");
    cr_assert_eq(ownerOf(table, longest + "x"), "unknown");
    cr_assert_eq(ownerOf(table, longest), "a");
    cr_assert_eq(ownerOf(table, "ok"), "a");
    cr_assert(table.unusableKeys() == (unusable_keys{0, 6, {"a", "b"}}));
    cr_assert_eq(table.workspaceCount(), 3);
    cr_assert_eq(table.keyCount(), 3);
}

TestSuite(most_urgent_priority_with_workspaces);

// Guards against requests that are shed in favor of more urgent ones that cannot exist, and against urgent requests
// that are treated like all others.

namespace {

std::uint32_t mostUrgent(const std::vector<workspace> &workspaces, bool requiresKeys, bool anonymous)
{
    const auto config = std::make_shared<traffic_config>(*makeConfig(workspaces));
    config->requiresKeys = requiresKeys;
    traffic_rule rule;
    rule.name = "lots";
    rule.host = "h";
    rule.pathPrefix = "/";
    rule.priority = 2;
    rule.anonymous = anonymous;
    rule.services = {{"lots", 1}};
    config->rules = {rule};
    return rule_table(config).mostUrgentPriority("lots");
}

workspace withPriority(const std::string &name, std::uint32_t priority)
{
    workspace made = makeWorkspace(name, {name});
    made.priority = priority;
    return made;
}

}

Test(most_urgent_priority_with_workspaces, priority_of_a_workspace_replaces_that_of_the_rule)
{
    const workspace plain = makeWorkspace("plain", {"p"});
    cr_assert_eq(mostUrgent({withPriority("urgent", 0), plain}, true, false), 0);
    cr_assert_eq(mostUrgent({withPriority("late", 5), plain}, true, false), 2);
    cr_assert_eq(mostUrgent({withPriority("late", 5), withPriority("later", 7)}, true, false), 5);
    cr_assert_eq(mostUrgent({plain}, true, false), 2);
}

Test(most_urgent_priority_with_workspaces, workspaces_do_not_affect_requests_without_key)
{
    cr_assert_eq(mostUrgent({withPriority("urgent", 0)}, true, true), 2);
    cr_assert_eq(mostUrgent({}, false, false), 2);
    workspace withoutKeys = withPriority("urgent", 0);
    withoutKeys.keys.clear();
    cr_assert_eq(mostUrgent({withoutKeys, makeWorkspace("plain", {"p"})}, true, false), 2);
}
