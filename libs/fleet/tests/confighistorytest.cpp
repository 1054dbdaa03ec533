#include "cardamomdeck/fleet/confighistory.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

/** Text of a configuration with @p rules rules, in the format that operators write. */
std::string makeConfigText(std::uint64_t version, int rules)
{
    std::string text = "{\"config_version\":\"" + std::to_string(version) + "\",\"routes\":{";
    for (int i = 0; i < rules; ++i) {
        text += "\"rule-" + std::to_string(i * 7919) + "\":{\"host\":\"mill.example\",\"path_prefix\":\"/p"
                + std::to_string(i * 104729) + "/\",\"kind\":\"safe\",\"timeout_s\":2.5,\"service\":\"lots\"},";
    }
    return text + "}}";
}

result_code codeOf(const config_history &history, const config_update &configUpdate)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<result_code> {
            BOOST_LEAF_CHECK(history.restore(configUpdate));
            return result_code::ok;
        },
        [](const failure &error) { return error.code; },
        [] { return result_code::internal_error; });
}

}

TestSuite(config_updates);

Test(config_updates, receiver_of_previous_version_gets_small_delta)
{
    config_history sender;
    config_history receiver;
    sender.add(3, makeConfigText(3, 1100));
    receiver.add(3, makeConfigText(3, 1100));
    sender.add(4, makeConfigText(4, 1101));
    const config_update &delta = sender.updateFrom(3);
    cr_assert_eq(delta.baseVersion, 3);
    cr_assert_lt(delta.compressedText.size(), makeConfigText(4, 1101).size() / 500);
    cr_assert(receiver.restore(delta).value() == makeConfigText(4, 1101));
}

Test(config_updates, receiver_without_version_gets_full_compressed_text)
{
    config_history sender;
    sender.add(4, makeConfigText(4, 1100));
    const config_update &fullUpdate = sender.updateFrom(0);
    cr_assert_eq(fullUpdate.baseVersion, 0);
    cr_assert_lt(fullUpdate.compressedText.size(), makeConfigText(4, 1100).size() / 8);
    cr_assert(config_history().restore(fullUpdate).value() == makeConfigText(4, 1100));
}

Test(config_updates, receiver_of_version_not_kept_gets_full_text)
{
    config_history sender;
    for (std::uint64_t version = 1; version <= config_history::maxVersions + 1; ++version) {
        sender.add(version, makeConfigText(version, 10));
    }
    cr_assert_eq(sender.updateFrom(1).baseVersion, 0);
    cr_assert_eq(sender.updateFrom(2).baseVersion, 2);
}

TestSuite(config_update_rejection);

Test(config_update_rejection, rejects_update_with_unknown_base)
{
    config_history sender;
    sender.add(3, makeConfigText(3, 100));
    sender.add(4, makeConfigText(4, 100));
    cr_assert_eq(codeOf(config_history(), sender.updateFrom(3)), result_code::base_unknown);
}

Test(config_update_rejection, rejects_update_made_from_different_base_text)
{
    config_history sender;
    sender.add(3, makeConfigText(3, 100));
    sender.add(4, makeConfigText(4, 100));
    config_history receiver;
    receiver.add(3, makeConfigText(3, 101));
    cr_assert_eq(codeOf(receiver, sender.updateFrom(3)), result_code::frame_malformed);
}

TestSuite(config_updates_out_of_order);

Test(config_updates_out_of_order, restored_text_equals_text_of_operator)
{
    constexpr std::uint64_t versions = 5;
    std::vector<config_update> sent;
    config_history sender;
    for (std::uint64_t version = 1; version <= versions; ++version) {
        sender.add(version, makeConfigText(version, static_cast<int>(20 * version)));
        for (std::uint64_t base = 0; base < version; ++base) {
            sent.push_back(sender.updateFrom(base));
        }
    }
    // Applies sequences of four of the sent updates, with duplicate, lost and reordered ones among them; tests every
    // third sequence.
    std::size_t restored = 0;
    const std::size_t updateCount = sent.size();
    for (std::size_t sequence = 0; sequence < updateCount * updateCount * updateCount * updateCount; sequence += 3) {
        config_history receiver;
        std::uint64_t newest = 0;
        for (std::size_t remaining = sequence, i = 0; i < 4; ++i, remaining /= updateCount) {
            const config_update &configUpdate = sent[remaining % updateCount];
            if (configUpdate.version <= newest) {
                continue;
            }
            auto text = receiver.restore(configUpdate);
            if (text) {
                cr_assert(*text == makeConfigText(configUpdate.version, static_cast<int>(20 * configUpdate.version)));
                newest = configUpdate.version;
                receiver.add(newest, std::move(*text));
                ++restored;
            }
        }
    }
    cr_assert_gt(restored, updateCount * updateCount);
}
