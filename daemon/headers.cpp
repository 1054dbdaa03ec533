#include "headers.h"

#include <algorithm>
#include <charconv>

namespace cardamomdeck::headers {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t traceparentLength = 55;

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isNonZeroHex(std::string_view digits)
{
    const bool allZero = std::ranges::all_of(digits, [](char c) { return c == '0'; });
    return !allZero && std::ranges::all_of(digits, isLowerHex);
}

}

std::string_view valueOf(const boost::beast::http::fields &fields, std::string_view name)
{
    const auto found = fields.find({name.data(), name.size()});
    if (found == fields.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

void set(boost::beast::http::fields &fields, std::string_view name, std::string_view value)
{
    fields.set(boost::beast::string_view(name.data(), name.size()),
               boost::beast::string_view(value.data(), value.size()));
}

std::optional<std::int64_t> numberOf(const boost::beast::http::fields &fields, std::string_view name)
{
    const std::string_view text = valueOf(fields, name);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<trace_context> parseTraceparent(std::string_view text)
{
    if (text.size() != traceparentLength || !text.starts_with("00-") || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const std::string_view trace = text.substr(3, traceIdDigits);
    const std::string_view parent = text.substr(36, spanIdDigits);
    const std::string_view flags = text.substr(53);
    if (!isNonZeroHex(trace) || !isNonZeroHex(parent) || !std::ranges::all_of(flags, isLowerHex)) {
        return std::nullopt;
    }
    const bool sampled = (flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0') % 2 == 1;
    return trace_context{std::string(trace), std::string(parent), sampled};
}

std::string randomHex(random_source &random, std::size_t digits)
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    constexpr std::size_t digitsPerNumber = 16;
    std::string text;
    text.reserve(digits);
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < digits; ++i) {
        if (i % digitsPerNumber == 0) {
            bits = random() | 1U;
        }
        text += alphabet[bits & 0xfU];
        bits >>= bitsPerDigit;
    }
    return text;
}

}
