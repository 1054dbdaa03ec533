#include "keyedtopics.h"

#include <absl/strings/escaping.h>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

namespace cardamomdeck {

using nlohmann::json;

namespace {

constexpr std::size_t lengthBytes = 4;

/** Records in one page of a listing and bytes in one read response, as in the platform's store. */
constexpr std::size_t maxRecordsPerPage = 500;
constexpr std::size_t maxReadBytes = 1024U * 1024U;

/** Decodes the percent-encoded bytes of @p text. */
std::string unescape(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
            continue;
        }
        decoded += text[i];
    }
    return decoded;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + "=");
    if (position == std::string::npos) {
        return {};
    }
    const auto start = position + name.size() + 1;
    return unescape(target.substr(start, target.find('&', start) - start));
}

std::string bigEndian(std::uint64_t value)
{
    std::string bytes(sizeof value, '\0');
    boost::endian::endian_store<std::uint64_t, sizeof value, boost::endian::order::big>(
        reinterpret_cast<unsigned char *>(bytes.data()), value);
    return bytes;
}

}

std::optional<http_response> keyed_topics::handleCall(const http_request &request)
{
    std::optional<http_response> response = respond(request);
    if (response && m_tellsEra) {
        response->set("Store-Era", std::to_string(m_era));
    }
    return response;
}

std::optional<http_response> keyed_topics::respond(const http_request &request)
{
    const std::string requestTarget(request.target());
    const std::string path = requestTarget.substr(0, requestTarget.find('?'));
    topic &selectedTopic = m_topics[queryValue(requestTarget, "topic")];
    if (path == "/v1/log-append") {
        ++m_callCount;
        return append(selectedTopic, request.body());
    }
    if (path == "/v1/log-read") {
        ++m_callCount;
        return read(selectedTopic, std::stoull(queryValue(requestTarget, "from")));
    }
    if (path == "/v1/log-newest") {
        ++m_callCount;
        return newest(selectedTopic, queryValue(requestTarget, "after"));
    }
    return std::nullopt;
}

http_response keyed_topics::append(topic &keyedTopic, const std::string &body)
{
    const std::uint64_t firstOffset = keyedTopic.endOffset();
    for (std::size_t start = 0; start < body.size();) {
        const auto length = boost::endian::endian_load<std::uint32_t, lengthBytes, boost::endian::order::big>(
            reinterpret_cast<const unsigned char *>(body.data() + start));
        const std::string record = body.substr(start, lengthBytes + length);
        const auto keySize = static_cast<unsigned char>(record.at(lengthBytes));
        const std::string key = record.substr(lengthBytes + 1, keySize);
        const std::string value = record.substr(lengthBytes + 1 + keySize);
        if (value.empty()) {
            keyedTopic.newest.erase(key);
        } else {
            keyedTopic.newest[key] = {keyedTopic.endOffset(), value};
        }
        keyedTopic.records.push_back(record);
        start += record.size();
    }
    return makeResponse(200, json({{"offset", firstOffset}, {"end", keyedTopic.endOffset()}}).dump());
}

http_response keyed_topics::read(const topic &keyedTopic, std::uint64_t from) const
{
    if (from < keyedTopic.startOffset || from > keyedTopic.endOffset()) {
        return makeResponse(410, json({{"first", keyedTopic.startOffset}}).dump());
    }
    std::string body = bigEndian(keyedTopic.endOffset()) + bigEndian(keyedTopic.startOffset);
    for (std::uint64_t offset = from; offset < keyedTopic.endOffset() && body.size() < maxReadBytes; ++offset) {
        body += keyedTopic.records[offset - keyedTopic.startOffset];
    }
    return makeResponse(200, body, "application/octet-stream");
}

http_response keyed_topics::newest(const topic &keyedTopic, const std::string &after) const
{
    json items = json::array();
    auto position = after.empty() ? keyedTopic.newest.begin() : keyedTopic.newest.upper_bound(after);
    for (; position != keyedTopic.newest.end() && items.size() < maxRecordsPerPage; ++position) {
        const auto &[key, record] = *position;
        items.push_back({{"key", key}, {"value", absl::Base64Escape(record.second)}, {"offset", record.first}});
    }
    const bool more = position != keyedTopic.newest.end();
    const json page = {{"items", items}, {"more", more}, {"end", keyedTopic.endOffset()}};
    return makeResponse(200, page.dump(-1, ' ', false, json::error_handler_t::replace));
}

void keyed_topics::compact()
{
    for (auto &[name, keyedTopic] : m_topics) {
        keyedTopic.startOffset = keyedTopic.endOffset();
        keyedTopic.records.clear();
    }
}

void keyed_topics::copy()
{
    m_copiedTopics = m_topics;
}

void keyed_topics::restore()
{
    m_topics = m_copiedTopics;
    ++m_era;
}

void keyed_topics::setTellsEra(bool tells)
{
    m_tellsEra = tells;
}

std::uint64_t keyed_topics::callCount() const
{
    return m_callCount;
}

}
