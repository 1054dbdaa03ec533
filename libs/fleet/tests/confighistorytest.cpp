#include "cardamomdeck/fleet/confighistory.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

/** The text of a configuration of @p rules rules, as an operator writes it. */
std::string textOf(std::uint64_t version, int rules)
{
    std::string text = "{\"config_version\":\"" + std::to_string(version) + "\",\"routes\":{";
    for (int i = 0; i < rules; ++i) {
        text += "\"rule-" + std::to_string(i * 7919) + "\":{\"host\":\"mill.example\",\"path_prefix\":\"/p"
                + std::to_string(i * 104729) + "/\",\"kind\":\"safe\",\"timeout_s\":2.5,\"service\":\"lots\"},";
    }
    return text + "}}";
}

result_code codeOf(const config_history &history, const config_transfer &transfer)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<result_code> {
            BOOST_LEAF_CHECK(history.restore(transfer));
            return result_code::ok;
        },
        [](const failure &error) { return error.code; },
        [] { return result_code::internal_error; });
}

}

TestSuite(a_configuration_of_many_rules_changes);

Test(a_configuration_of_many_rules_changes, a_receiver_of_the_version_before_gets_a_small_part_of_it)
{
    config_history sender;
    config_history receiver;
    sender.add(3, textOf(3, 1100));
    receiver.add(3, textOf(3, 1100));
    sender.add(4, textOf(4, 1101));
    const config_transfer &change = sender.transferFrom(3);
    cr_assert_eq(change.base, 3);
    cr_assert_lt(change.bytes.size(), textOf(4, 1101).size() / 500);
    cr_assert(receiver.restore(change).value() == textOf(4, 1101));
}

Test(a_configuration_of_many_rules_changes, a_receiver_without_any_version_gets_it_whole_and_compressed)
{
    config_history sender;
    sender.add(4, textOf(4, 1100));
    const config_transfer &whole = sender.transferFrom(0);
    cr_assert_eq(whole.base, 0);
    cr_assert_lt(whole.bytes.size(), textOf(4, 1100).size() / 8);
    cr_assert(config_history().restore(whole).value() == textOf(4, 1100));
}

Test(a_configuration_of_many_rules_changes, a_receiver_of_a_version_that_is_not_kept_gets_it_whole)
{
    config_history sender;
    for (std::uint64_t version = 1; version <= config_history::keptVersions + 1; ++version) {
        sender.add(version, textOf(version, 10));
    }
    cr_assert_eq(sender.transferFrom(1).base, 0);
    cr_assert_eq(sender.transferFrom(2).base, 2);
}

TestSuite(a_change_does_not_fit);

Test(a_change_does_not_fit, it_is_refused_when_its_base_is_unknown)
{
    config_history sender;
    sender.add(3, textOf(3, 100));
    sender.add(4, textOf(4, 100));
    cr_assert_eq(codeOf(config_history(), sender.transferFrom(3)), result_code::base_unknown);
}

Test(a_change_does_not_fit, it_is_refused_when_the_base_is_another_text_of_that_version)
{
    config_history sender;
    sender.add(3, textOf(3, 100));
    sender.add(4, textOf(4, 100));
    config_history receiver;
    receiver.add(3, textOf(3, 101));
    cr_assert_eq(codeOf(receiver, sender.transferFrom(3)), result_code::frame_malformed);
}

TestSuite(changes_arrive_in_any_order);

Test(changes_arrive_in_any_order, whatever_is_restored_is_what_the_operator_wrote)
{
    constexpr std::uint64_t versions = 5;
    std::vector<config_transfer> sent;
    config_history sender;
    for (std::uint64_t version = 1; version <= versions; ++version) {
        sender.add(version, textOf(version, static_cast<int>(20 * version)));
        for (std::uint64_t base = 0; base < version; ++base) {
            sent.push_back(sender.transferFrom(base));
        }
    }
    // All orders of four messages, doubled and lost ones among them.
    std::size_t restored = 0;
    const std::size_t choices = sent.size();
    for (std::size_t order = 0; order < choices * choices * choices * choices; order += 3) {
        config_history receiver;
        std::uint64_t newest = 0;
        for (std::size_t rest = order, i = 0; i < 4; ++i, rest /= choices) {
            const config_transfer &transfer = sent[rest % choices];
            if (transfer.version <= newest) {
                continue;
            }
            auto text = receiver.restore(transfer);
            if (text) {
                cr_assert(*text == textOf(transfer.version, static_cast<int>(20 * transfer.version)));
                newest = transfer.version;
                receiver.add(newest, std::move(*text));
                ++restored;
            }
        }
    }
    cr_assert_gt(restored, choices * choices);
}
