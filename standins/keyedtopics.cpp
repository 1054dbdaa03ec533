#include "keyedtopics.h"

#include <absl/strings/escaping.h>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

namespace cardamomdeck {

using nlohmann::json;

namespace {

constexpr std::size_t lengthBytes = 4;

/** Records in one page of newest records, and bytes in one answer to a read, as the platform's store has them. */
constexpr std::size_t pageRecords = 500;
constexpr std::size_t readBytes = 1024U * 1024U;

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + "=");
    if (position == std::string::npos) {
        return {};
    }
    const auto start = position + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string bigEndian(std::uint64_t value)
{
    std::string bytes(sizeof value, '\0');
    boost::endian::endian_store<std::uint64_t, sizeof value, boost::endian::order::big>(
        reinterpret_cast<unsigned char *>(bytes.data()), value);
    return bytes;
}

}

std::optional<http_response> keyed_topics::answer(const http_request &request)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    topic &named = m_topics[queryValue(target, "topic")];
    if (path == "/v1/log-append") {
        ++m_calls;
        return append(named, request.body());
    }
    if (path == "/v1/log-read") {
        ++m_calls;
        return read(named, std::stoull(queryValue(target, "from")));
    }
    if (path == "/v1/log-newest") {
        ++m_calls;
        return newest(named, queryValue(target, "after"));
    }
    return std::nullopt;
}

http_response keyed_topics::append(topic &target, const std::string &body)
{
    const std::uint64_t first = target.end();
    for (std::size_t start = 0; start < body.size();) {
        const auto length = boost::endian::endian_load<std::uint32_t, lengthBytes, boost::endian::order::big>(
            reinterpret_cast<const unsigned char *>(body.data() + start));
        const std::string record = body.substr(start, lengthBytes + length);
        const auto keySize = static_cast<unsigned char>(record.at(lengthBytes));
        const std::string key = record.substr(lengthBytes + 1, keySize);
        const std::string value = record.substr(lengthBytes + 1 + keySize);
        if (value.empty()) {
            target.newest.erase(key);
        } else {
            target.newest[key] = {target.end(), value};
        }
        target.records.push_back(record);
        start += record.size();
    }
    return makeResponse(200, json({{"offset", first}, {"end", target.end()}}).dump());
}

http_response keyed_topics::read(const topic &target, std::uint64_t from) const
{
    if (from < target.first) {
        return makeResponse(410, json({{"first", target.first}}).dump());
    }
    std::string body = bigEndian(target.end()) + bigEndian(target.first);
    for (std::uint64_t offset = from; offset < target.end() && body.size() < readBytes; ++offset) {
        body += target.records[offset - target.first];
    }
    return makeResponse(200, body, "application/octet-stream");
}

http_response keyed_topics::newest(const topic &target, const std::string &after) const
{
    json items = json::array();
    auto position = after.empty() ? target.newest.begin() : target.newest.upper_bound(after);
    for (; position != target.newest.end() && items.size() < pageRecords; ++position) {
        const auto &[key, record] = *position;
        items.push_back({{"key", key}, {"value", absl::Base64Escape(record.second)}, {"offset", record.first}});
    }
    const bool more = position != target.newest.end();
    return makeResponse(200, json({{"items", items}, {"more", more}, {"end", target.end()}}).dump());
}

void keyed_topics::compact()
{
    for (auto &[name, target] : m_topics) {
        target.first = target.end();
        target.records.clear();
    }
}

std::uint64_t keyed_topics::calls() const
{
    return m_calls;
}

}
