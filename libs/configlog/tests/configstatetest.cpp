#include "cardamomdeck/configlog/configstate.h"

#include "cardamomdeck/base/randomsource.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace cardamomdeck;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

const resource_key lots = {resource_kind::service, "lots"};

change putService(const std::string &id, std::optional<log_offset> expected, int timeoutMs)
{
    return {id, put_change{lots, expected, {{"name", "lots"}, {"timeout_ms", timeoutMs}}}};
}

fold_result fold(config_state &state, const change &value)
{
    return state.apply({state.applied() + 1, encodeChange(value)});
}

entry_member member(const std::string &name, std::uint64_t incarnation)
{
    return {name, "a", incarnation, {"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
}

config_state reload(const config_state &state)
{
    return leaf::try_handle_all([&] { return config_state::fromSnapshot(state.toSnapshot()); },
                                [] {
                                    cr_assert_fail("the snapshot was refused");
                                    return config_state();
                                });
}

/** A random but valid, or sometimes damaged, record. */
std::string randomRecord(random_source &random)
{
    const std::string id = "id-" + std::to_string(randomIndex(random, 40));
    const std::string name = "name-" + std::to_string(randomIndex(random, 4));
    const std::optional<log_offset> expected
        = randomIndex(random, 2) == 0 ? std::nullopt : std::optional<log_offset>(randomIndex(random, 60));
    switch (randomIndex(random, 6)) {
    case 0:
        return encodeChange({id, put_change{{resource_kind::service, name}, expected, {{"name", name}}}});
    case 1:
        return encodeChange({id, delete_change{{resource_kind::service, name}, expected}});
    case 2:
        return encodeChange({id, join_change{member(name, randomIndex(random, 3)), randomIndex(random, 60)}});
    case 3:
        return encodeChange({id, leave_change{name, randomIndex(random, 3), randomIndex(random, 60)}});
    case 4:
        return R"({"id":")" + id + R"(","op":"dance"})";
    default:
        return "\xff{not json";
    }
}

}

Test(config_state, of_two_racing_changes_the_log_order_decides_and_the_loser_is_told)
{
    config_state state;
    cr_assert(fold(state, putService("first", 0, 100)).code == result_code::ok);
    const log_offset version = state.resources().at(lots).version;
    cr_assert(fold(state, putService("anna", version, 200)).code == result_code::ok);
    cr_assert(fold(state, putService("boris", version, 300)).code == result_code::version_conflict);
    cr_assert(state.resources().at(lots).body.at("timeout_ms") == 200);
    cr_assert(state.resources().at(lots).generation == 2);
}

Test(config_state, a_repeated_append_takes_effect_once)
{
    config_state state;
    const fold_result first = fold(state, putService("same", 0, 100));
    fold(state, putService("other", std::nullopt, 200));
    const fold_result second = fold(state, putService("same", 0, 100));
    cr_assert(first == second);
    cr_assert(state.resources().at(lots).body.at("timeout_ms") == 200);
}

Test(config_state, damaged_and_unknown_records_are_named_and_skipped)
{
    config_state state;
    cr_assert(state.apply({1, "\xff\xfe"}).code == result_code::record_corrupt);
    cr_assert(state.apply({2, R"({"id":"x","op":"dance"})"}).code == result_code::record_unsupported);
    cr_assert(state.apply({3, R"({"id":"x","op":"put","kind":"services","name":"lots"})"}).code
              == result_code::record_corrupt);
    cr_assert(state.applied() == 3);
    cr_assert(fold(state, putService("next", 0, 100)).code == result_code::ok);
}

Test(config_state, a_service_that_is_referred_to_cannot_be_deleted)
{
    config_state state;
    fold(state, putService("a", 0, 100));
    const json body = {{"name", "lots-1"}, {"service", "lots"}, {"address", "127.0.0.1:80"}, {"zone", "a"}};
    cr_assert(fold(state, {"b", put_change{{resource_kind::backend, "lots-1"}, 0, body}}).code == result_code::ok);
    cr_assert(fold(state, {"c", delete_change{lots, std::nullopt}}).code == result_code::resource_invalid);
}

Test(config_state, membership_changes_one_at_a_time)
{
    config_state state;
    cr_assert(fold(state, {"a", join_change{member("entry-1", 1), 0}}).code == result_code::ok);
    cr_assert(fold(state, {"b", join_change{member("entry-2", 1), 0}}).code == result_code::version_conflict);
    cr_assert(fold(state, {"c", join_change{member("entry-2", 1), 1}}).code == result_code::ok);
    cr_assert(fold(state, {"d", leave_change{"entry-2", 9, 3}}).code == result_code::resource_unknown);
    cr_assert(fold(state, {"e", leave_change{"entry-2", 1, 3}}).code == result_code::ok);
    cr_assert(state.members().size() == 1);
}

Test(config_state, an_older_incarnation_cannot_replace_a_later_one)
{
    config_state state;
    fold(state, {"a", join_change{member("entry-1", 5), 0}});
    cr_assert(fold(state, {"b", join_change{member("entry-1", 4), 1}}).code == result_code::version_conflict);
    cr_assert(state.members().at("entry-1").incarnation == 5);
}

Test(config_state, any_records_fold_the_same_way_with_and_without_a_snapshot_in_between)
{
    constexpr unsigned seeds = 50;
    constexpr unsigned records = 120;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        random_source random(seed);
        config_state through;
        config_state reloaded;
        const std::size_t cut = randomIndex(random, records);
        for (unsigned i = 0; i < records; ++i) {
            const log_record record = {i + 1, randomRecord(random)};
            const fold_result expected = through.apply(record);
            cr_assert(reloaded.apply(record) == expected, "seed %u record %u", seed, i);
            if (i == cut) {
                reloaded = reload(reloaded);
            }
        }
        cr_assert(through == reloaded, "seed %u", seed);
        cr_assert(through.toSnapshot() == reloaded.toSnapshot());
    }
}

Test(config_state, any_bytes_are_survived_as_record_and_as_snapshot)
{
    constexpr unsigned rounds = 3000;
    random_source random(7);
    const std::string valid = encodeChange(putService("a", 0, 100));
    for (unsigned i = 0; i < rounds; ++i) {
        std::string bytes = valid;
        for (std::size_t flips = 1 + randomIndex(random, 4); flips > 0; --flips) {
            bytes[randomIndex(random, bytes.size())] = static_cast<char>(random());
        }
        bytes.resize(randomIndex(random, bytes.size() + 1));
        config_state state;
        state.apply({1, bytes});
        cr_assert(state.applied() == 1);
        leaf::try_handle_all([&] { return config_state::fromSnapshot(bytes); }, [] { return config_state(); });
    }
}
