#include "private/fieldreader.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxPathLength = 512;
constexpr std::size_t maxMethodLength = 16;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, isNameCharacter);
}

bool isPathCharacter(char c)
{
    return c > ' ' && c < 0x7f && c != '?' && c != '#';
}

bool isPath(const std::string &text)
{
    return text.size() <= maxPathLength && text.starts_with('/') && std::ranges::all_of(text, isPathCharacter);
}

bool isMethod(const nlohmann::json &value)
{
    if (!value.is_string()) {
        return false;
    }
    const auto &text = value.get_ref<const std::string &>();
    const auto isUpper = [](char c) {
        return c >= 'A' && c <= 'Z';
    };
    return !text.empty() && text.size() <= maxMethodLength && std::ranges::all_of(text, isUpper);
}

}

field_reader::field_reader(const nlohmann::json &body)
    : m_body(body)
{
    if (!body.is_object()) {
        addError("body", "is not a JSON object");
    }
}

void field_reader::readName(const std::string &key, std::string &target)
{
    const nlohmann::json *const value = find(key, true);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !isName(value->get_ref<const std::string &>())) {
        addError(key, "must be 1 to 63 lower-case letters, digits, '-', '_' or '.'");
        return;
    }
    target = value->get<std::string>();
}

void field_reader::readChoice(const std::string &key, std::string &target, std::span<const std::string_view> choices)
{
    const nlohmann::json *const value = find(key, false);
    if (value == nullptr) {
        return;
    }
    const bool validChoice
        = value->is_string()
          && std::ranges::find(choices, std::string_view(value->get_ref<const std::string &>())) != choices.end();
    if (!validChoice) {
        addError(key, "is not one of the supported values");
        return;
    }
    target = value->get<std::string>();
}

void field_reader::readAddress(const std::string &key, socket_address &target)
{
    const nlohmann::json *const value = find(key, true);
    if (value == nullptr) {
        return;
    }
    const auto parsed = value->is_string() ? parseSocketAddress(value->get_ref<const std::string &>()) : std::nullopt;
    if (!parsed) {
        addError(key, "must be an IP address and a port, as in 127.0.0.1:8080");
        return;
    }
    target = *parsed;
}

void field_reader::readPath(const std::string &key, std::string &target)
{
    storePath(key, find(key, true), target);
}

void field_reader::readOptionalPath(const std::string &key, std::string &target)
{
    storePath(key, find(key, false), target);
}

void field_reader::readFlag(const std::string &key, bool &target)
{
    const nlohmann::json *const value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        addError(key, "must be true or false");
        return;
    }
    target = value->get<bool>();
}

void field_reader::readMethods(const std::string &key, std::vector<std::string> &target)
{
    const nlohmann::json *const value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array() || !std::ranges::all_of(*value, isMethod)) {
        addError(key, "must be a list of upper-case HTTP methods");
        return;
    }
    target = value->get<std::vector<std::string>>();
}

void field_reader::readCount(const std::string &key, std::uint32_t &target, std::int64_t minimum, std::int64_t maximum)
{
    std::int64_t count = target;
    readInteger(key, count, minimum, maximum);
    target = static_cast<std::uint32_t>(count);
}

boost::leaf::result<void> field_reader::finish()
{
    if (m_body.is_object()) {
        for (const auto &[key, value] : m_body.items()) {
            if (!m_knownFields.contains(key)) {
                addError(key, "is not a known field");
            }
        }
    }
    if (m_errors.empty()) {
        return {};
    }
    return boost::leaf::new_error(failure{result_code::resource_invalid, m_errors});
}

const nlohmann::json *field_reader::find(const std::string &key, bool required)
{
    m_knownFields.insert(key);
    if (!m_body.is_object()) {
        return nullptr;
    }
    const auto position = m_body.find(key);
    if (position != m_body.end()) {
        return &*position;
    }
    if (required) {
        addError(key, "is missing");
    }
    return nullptr;
}

void field_reader::readInteger(const std::string &key, std::int64_t &target, std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json *const value = find(key, false);
    if (value == nullptr) {
        return;
    }
    const bool validInteger = value->is_number_integer()
                              && !(value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX)
                              && value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
    if (!validInteger) {
        addError(key, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return;
    }
    target = value->get<std::int64_t>();
}

void field_reader::storePath(const std::string &key, const nlohmann::json *value, std::string &target)
{
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !isPath(value->get_ref<const std::string &>())) {
        addError(key, "must begin with '/' and hold only printable characters without '?' and '#'");
        return;
    }
    target = value->get<std::string>();
}

void field_reader::addError(const std::string &key, const std::string &message)
{
    if (!m_errors.empty()) {
        m_errors += "; ";
    }
    m_errors += key + " " + message;
}

}
