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

const resource_key lotsKey = {resource_kind::service, "lots"};

config_change putService(const std::string &id, std::optional<log_offset> expectedVersion, int timeoutMs)
{
    return {id, put_change{lotsKey, expectedVersion, {{"name", "lots"}, {"timeout_ms", timeoutMs}}}};
}

apply_result applyChange(config_state &state, const config_change &value)
{
    return state.apply({state.appliedOffset() + 1, encodeChange(value)});
}

entry_member makeMember(const std::string &name, std::uint64_t incarnation)
{
    return {name, "a", incarnation, {"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
}

config_state reload(const config_state &state)
{
    return leaf::try_handle_all([&] { return config_state::fromSnapshot(state.toSnapshot()); },
                                [] {
                                    cr_assert_fail("the snapshot was rejected");
                                    return config_state();
                                });
}

/** Returns a random record: usually valid, sometimes unsupported or corrupt. */
std::string randomRecord(random_source &random)
{
    const std::string id = "id-" + std::to_string(randomIndex(random, 40));
    const std::string name = "name-" + std::to_string(randomIndex(random, 4));
    const std::optional<log_offset> expectedVersion
        = randomIndex(random, 2) == 0 ? std::nullopt : std::optional<log_offset>(randomIndex(random, 60));
    switch (randomIndex(random, 6)) {
    case 0:
        return encodeChange({id, put_change{{resource_kind::service, name}, expectedVersion, {{"name", name}}}});
    case 1:
        return encodeChange({id, delete_change{{resource_kind::service, name}, expectedVersion}});
    case 2:
        return encodeChange({id, join_change{makeMember(name, randomIndex(random, 3)), randomIndex(random, 60)}});
    case 3:
        return encodeChange({id, leave_change{name, randomIndex(random, 3), randomIndex(random, 60)}});
    case 4:
        return R"({"id":")" + id + R"(","op":"dance"})";
    default:
        return "\xff{not json";
    }
}

}

Test(config_state, second_of_two_concurrent_conditional_puts_gets_version_conflict)
{
    config_state state;
    cr_assert(applyChange(state, putService("first", 0, 100)).code == result_code::ok);
    const log_offset version = state.resources().at(lotsKey).version;
    cr_assert(applyChange(state, putService("anna", version, 200)).code == result_code::ok);
    cr_assert(applyChange(state, putService("boris", version, 300)).code == result_code::version_conflict);
    cr_assert(state.resources().at(lotsKey).body.at("timeout_ms") == 200);
    cr_assert(state.resources().at(lotsKey).generation == 2);
}

Test(config_state, duplicate_change_id_is_applied_once)
{
    config_state state;
    const apply_result first = applyChange(state, putService("same", 0, 100));
    applyChange(state, putService("other", std::nullopt, 200));
    const apply_result second = applyChange(state, putService("same", 0, 100));
    cr_assert(first == second);
    cr_assert(state.resources().at(lotsKey).body.at("timeout_ms") == 200);
}

Test(config_state, corrupt_and_unsupported_records_are_reported_and_skipped)
{
    config_state state;
    cr_assert(state.apply({1, "\xff\xfe"}).code == result_code::record_corrupt);
    cr_assert(state.apply({2, R"({"id":"x","op":"dance"})"}).code == result_code::record_unsupported);
    cr_assert(state.apply({3, R"({"id":"x","op":"put","kind":"services","name":"lots"})"}).code
              == result_code::record_corrupt);
    cr_assert(state.appliedOffset() == 3);
    cr_assert(applyChange(state, putService("next", 0, 100)).code == result_code::ok);
}

Test(config_state, referenced_service_cannot_be_deleted)
{
    config_state state;
    applyChange(state, putService("a", 0, 100));
    const json body = {{"name", "lots-1"}, {"service", "lots"}, {"address", "127.0.0.1:80"}, {"zone", "a"}};
    cr_assert(applyChange(state, {"b", put_change{{resource_kind::backend, "lots-1"}, 0, body}}).code
              == result_code::ok);
    cr_assert(applyChange(state, {"c", delete_change{lotsKey, std::nullopt}}).code == result_code::resource_invalid);
}

Test(config_state, membership_change_with_outdated_version_is_rejected)
{
    config_state state;
    cr_assert(applyChange(state, {"a", join_change{makeMember("entry-1", 1), 0}}).code == result_code::ok);
    cr_assert(applyChange(state, {"b", join_change{makeMember("entry-2", 1), 0}}).code
              == result_code::version_conflict);
    cr_assert(applyChange(state, {"c", join_change{makeMember("entry-2", 1), 1}}).code == result_code::ok);
    cr_assert(applyChange(state, {"d", leave_change{"entry-2", 9, 3}}).code == result_code::resource_unknown);
    cr_assert(applyChange(state, {"e", leave_change{"entry-2", 1, 3}}).code == result_code::ok);
    cr_assert(state.members().size() == 1);
}

Test(config_state, an_older_incarnation_cannot_replace_a_later_one)
{
    config_state state;
    applyChange(state, {"a", join_change{makeMember("entry-1", 5), 0}});
    cr_assert(applyChange(state, {"b", join_change{makeMember("entry-1", 4), 1}}).code
              == result_code::version_conflict);
    cr_assert(state.members().at("entry-1").incarnation == 5);
}

Test(config_state, random_records_give_the_same_state_with_and_without_a_snapshot_reload)
{
    constexpr unsigned seedCount = 50;
    constexpr unsigned recordCount = 120;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        random_source random(seed);
        config_state continuous;
        config_state reloaded;
        const std::size_t reloadIndex = randomIndex(random, recordCount);
        for (unsigned i = 0; i < recordCount; ++i) {
            const log_record record = {i + 1, randomRecord(random)};
            const apply_result expectedResult = continuous.apply(record);
            cr_assert(reloaded.apply(record) == expectedResult, "seed %u record %u", seed, i);
            if (i == reloadIndex) {
                reloaded = reload(reloaded);
            }
        }
        cr_assert(continuous == reloaded, "seed %u", seed);
        cr_assert(continuous.toSnapshot() == reloaded.toSnapshot());
    }
}

Test(config_state, random_bytes_do_not_crash_record_or_snapshot_decoding)
{
    constexpr unsigned iterations = 3000;
    random_source random(7);
    const std::string valid = encodeChange(putService("a", 0, 100));
    for (unsigned i = 0; i < iterations; ++i) {
        std::string bytes = valid;
        for (std::size_t flips = 1 + randomIndex(random, 4); flips > 0; --flips) {
            bytes[randomIndex(random, bytes.size())] = static_cast<char>(random());
        }
        bytes.resize(randomIndex(random, bytes.size() + 1));
        config_state state;
        state.apply({1, bytes});
        cr_assert(state.appliedOffset() == 1);
        leaf::try_handle_all([&] { return config_state::fromSnapshot(bytes); }, [] { return config_state(); });
    }
}
