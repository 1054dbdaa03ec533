#include "cardamomdeck/fleet/confighistory.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

/** The text of a configuration of @p rules rules, as an operator writes it. */
std::string makeConfigText(std::uint64_t version, int rules)
{
    std::string text = "{\"config_version\":\"" + std::to_string(version) + "\",\"routes\":{";
    for (int i = 0; i < rules; ++i) {
        text += "\"rule-" + std::to_string(i * 7919) + "\":{\"host\":\"mill.example\",\"path_prefix\":\"/p"
                + std::to_string(i * 104729) + "/\",\"kind\":\"safe\",\"timeout_s\":2.5,\"service\":\"lots\"},";
    }
    return text + "}}";
}

result_code codeOf(const config_history &history, const config_update &transfer)
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

TestSuite(config_updates);

Test(config_updates, a_receiver_of_the_version_before_gets_a_small_part_of_it)
{
    config_history sender;
    config_history receiver;
    sender.add(3, makeConfigText(3, 1100));
    receiver.add(3, makeConfigText(3, 1100));
    sender.add(4, makeConfigText(4, 1101));
    const config_update &change = sender.updateFrom(3);
    cr_assert_eq(change.baseVersion, 3);
    cr_assert_lt(change.compressedText.size(), makeConfigText(4, 1101).size() / 500);
    cr_assert(receiver.restore(change).value() == makeConfigText(4, 1101));
}

Test(config_updates, a_receiver_without_any_version_gets_it_whole_and_compressed)
{
    config_history sender;
    sender.add(4, makeConfigText(4, 1100));
    const config_update &whole = sender.updateFrom(0);
    cr_assert_eq(whole.baseVersion, 0);
    cr_assert_lt(whole.compressedText.size(), makeConfigText(4, 1100).size() / 8);
    cr_assert(config_history().restore(whole).value() == makeConfigText(4, 1100));
}

Test(config_updates, a_receiver_of_a_version_that_is_not_kept_gets_it_whole)
{
    config_history sender;
    for (std::uint64_t version = 1; version <= config_history::maxVersions + 1; ++version) {
        sender.add(version, makeConfigText(version, 10));
    }
    cr_assert_eq(sender.updateFrom(1).baseVersion, 0);
    cr_assert_eq(sender.updateFrom(2).baseVersion, 2);
}

TestSuite(config_update_rejection);

Test(config_update_rejection, it_is_refused_when_its_base_is_unknown)
{
    config_history sender;
    sender.add(3, makeConfigText(3, 100));
    sender.add(4, makeConfigText(4, 100));
    cr_assert_eq(codeOf(config_history(), sender.updateFrom(3)), result_code::base_unknown);
}

Test(config_update_rejection, it_is_refused_when_the_base_is_another_text_of_that_version)
{
    config_history sender;
    sender.add(3, makeConfigText(3, 100));
    sender.add(4, makeConfigText(4, 100));
    config_history receiver;
    receiver.add(3, makeConfigText(3, 101));
    cr_assert_eq(codeOf(receiver, sender.updateFrom(3)), result_code::frame_malformed);
}

TestSuite(config_updates_out_of_order);

Test(config_updates_out_of_order, whatever_is_restored_is_what_the_operator_wrote)
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
    // All orders of four messages, doubled and lost ones among them.
    std::size_t restored = 0;
    const std::size_t choices = sent.size();
    for (std::size_t order = 0; order < choices * choices * choices * choices; order += 3) {
        config_history receiver;
        std::uint64_t newest = 0;
        for (std::size_t rest = order, i = 0; i < 4; ++i, rest /= choices) {
            const config_update &transfer = sent[rest % choices];
            if (transfer.version <= newest) {
                continue;
            }
            auto text = receiver.restore(transfer);
            if (text) {
                cr_assert(*text == makeConfigText(transfer.version, static_cast<int>(20 * transfer.version)));
                newest = transfer.version;
                receiver.add(newest, std::move(*text));
                ++restored;
            }
        }
    }
    cr_assert_gt(restored, choices * choices);
}
