#include "cardamomdeck/base/compression.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

#include <random>

using namespace cardamomdeck;

namespace {

constexpr std::size_t maxTextBytes = 1'000'000;

/** A text of @p lines different lines. */
std::string makeText(int lines)
{
    std::string text;
    for (int i = 0; i < lines; ++i) {
        text += "rule-" + std::to_string(i * 7919) + " sends /path-" + std::to_string(i) + "/ to lots\n";
    }
    return text;
}

result_code codeOf(const std::string &bytes, std::size_t maxBytes = maxTextBytes, std::string_view base = {})
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<result_code> {
            BOOST_LEAF_CHECK(decompress(bytes, maxBytes, base));
            return result_code::ok;
        },
        [](const failure &error) { return error.code; },
        [] { return result_code::internal_error; });
}

}

TestSuite(text_compression);

Test(text_compression, round_trip_preserves_text)
{
    for (const std::string &text : {std::string(), std::string("x"), makeText(1000), std::string("\0\xff", 2)}) {
        cr_assert(decompress(compress(text), maxTextBytes).value() == text);
    }
}

Test(text_compression, delta_of_small_change_is_small)
{
    const std::string base = makeText(5000);
    std::string text = base;
    text.insert(text.size() / 2, "rule-new sends /new/ to lots\n");
    const std::string delta = compress(text, base);
    cr_assert_lt(delta.size(), compress(text).size() / 50);
    cr_assert(decompress(delta, maxTextBytes, base).value() == text);
}

TestSuite(invalid_compressed_messages);

Test(invalid_compressed_messages, different_base_is_rejected)
{
    const std::string base = makeText(500);
    std::string otherBase = base;
    otherBase[base.size() / 2] = '#';
    const std::string delta = compress(base + "more", base);
    cr_assert_eq(codeOf(delta, maxTextBytes, otherBase), result_code::frame_malformed);
    cr_assert_eq(codeOf(delta), result_code::frame_malformed);
}

Test(invalid_compressed_messages, truncated_extended_and_corrupted_frames_are_rejected)
{
    const std::string compressed = compress(makeText(50));
    for (std::size_t size = 0; size < compressed.size(); ++size) {
        cr_assert_eq(codeOf(compressed.substr(0, size)), result_code::frame_malformed);
    }
    cr_assert_eq(codeOf(compressed + "x"), result_code::frame_malformed);
    std::mt19937_64 random(20);
    for (int i = 0; i < 2000; ++i) {
        std::string corrupted = compressed;
        corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 255);
        cr_assert(codeOf(corrupted) != result_code::ok || *decompress(corrupted, maxTextBytes) == makeText(50));
    }
}

Test(invalid_compressed_messages, decompression_bomb_is_rejected)
{
    const std::string bomb = compress(std::string(100'000'000, 'a'));
    cr_assert_lt(bomb.size(), 20'000);
    cr_assert_eq(codeOf(bomb), result_code::frame_too_large);
}
