#include "cardamomdeck/base/compression.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <random>

using namespace cardamomdeck;

namespace {

constexpr std::size_t largest = 1'000'000;

/** A text of @p lines lines that differ. */
std::string textOf(int lines)
{
    std::string text;
    for (int i = 0; i < lines; ++i) {
        text += "rule-" + std::to_string(i * 7919) + " sends /path-" + std::to_string(i) + "/ to lots\n";
    }
    return text;
}

result_code codeOf(const std::string &bytes, std::size_t most = largest, std::string_view base = {})
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<result_code> {
            BOOST_LEAF_CHECK(decompress(bytes, most, base));
            return result_code::ok;
        },
        [](const failure &error) { return error.code; },
        [] { return result_code::internal_error; });
}

}

TestSuite(a_text_is_compressed);

Test(a_text_is_compressed, and_comes_back_as_it_was)
{
    for (const std::string &text : {std::string(), std::string("x"), textOf(1000), std::string("\0\xff", 2)}) {
        cr_assert(decompress(compress(text), largest).value() == text);
    }
}

Test(a_text_is_compressed, as_a_small_change_when_most_of_it_is_known)
{
    const std::string base = textOf(5000);
    std::string text = base;
    text.insert(text.size() / 2, "rule-new sends /new/ to lots\n");
    const std::string change = compress(text, base);
    cr_assert_lt(change.size(), compress(text).size() / 50);
    cr_assert(decompress(change, largest, base).value() == text);
}

TestSuite(invalid_compressed_messages);

Test(invalid_compressed_messages, another_base_is_noticed)
{
    const std::string base = textOf(500);
    std::string other = base;
    other[base.size() / 2] = '#';
    const std::string change = compress(base + "more", base);
    cr_assert_eq(codeOf(change, largest, other), result_code::frame_malformed);
    cr_assert_eq(codeOf(change), result_code::frame_malformed);
}

Test(invalid_compressed_messages, cut_extended_and_changed_ones_are_refused)
{
    const std::string whole = compress(textOf(50));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        cr_assert_eq(codeOf(whole.substr(0, size)), result_code::frame_malformed);
    }
    cr_assert_eq(codeOf(whole + "x"), result_code::frame_malformed);
    std::mt19937_64 random(20);
    for (int i = 0; i < 2000; ++i) {
        std::string changed = whole;
        changed[random() % changed.size()] ^= static_cast<char>(1 + random() % 255);
        cr_assert(codeOf(changed) != result_code::ok || *decompress(changed, largest) == textOf(50));
    }
}

Test(invalid_compressed_messages, decompression_bomb_is_rejected)
{
    const std::string bomb = compress(std::string(100'000'000, 'a'));
    cr_assert_lt(bomb.size(), 20'000);
    cr_assert_eq(codeOf(bomb), result_code::frame_too_large);
}
