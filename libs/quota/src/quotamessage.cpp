#include "cardamomdeck/quota/quotamessage.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <limits>
#include <stdexcept>
#include <type_traits>

namespace cardamomdeck {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/** First field of a message. */
enum class message_kind {
    token_request = 1,
    token_grant = 2,
    issuer_query = 3,
    issuer_status = 4,
    issuer_handover = 5,
};

/** Maximum size of a message in bytes; names take most of it. */
constexpr std::size_t maxMessageBytes = 1024;

/** Maximum length of a name in bytes, as in the store. */
constexpr std::size_t maxNameBytes = 255;

/** Maximum number of tokens in a message. */
constexpr std::uint32_t maxTokens = 1'000'000;

/** Maximum of the durations in messages; issuers send up to a second. */
constexpr std::int64_t maxRetryAfterMs = 60'000;

json toJson(const token_request &request)
{
    return json::array(
        {message_kind::token_request, request.sender, request.workspace, request.number, request.tokens});
}

json toJson(const token_grant &grant)
{
    return json::array({message_kind::token_grant,
                        grant.sender,
                        grant.workspace,
                        grant.number,
                        grant.isIssuer,
                        grant.tokens,
                        grant.retryAfter.count(),
                        grant.issuer});
}

json toJson(const issuer_query &query)
{
    return json::array({message_kind::issuer_query, query.sender, query.workspace, query.number, query.purpose});
}

json toJson(const issuer_status &status)
{
    return json::array({message_kind::issuer_status,
                        status.sender,
                        status.workspace,
                        status.number,
                        status.state,
                        status.tokens,
                        status.relay});
}

json toJson(const issuer_handover &handover)
{
    return json::array({message_kind::issuer_handover, handover.sender, handover.workspace, handover.tokens});
}

std::string nameFromJson(const json &field)
{
    auto name = field.get<std::string>();
    if (name.size() > maxNameBytes) {
        throw std::invalid_argument("name is too long");
    }
    return name;
}

/** Decodes an unsigned number of at most @p maximum; throws for negative numbers and fractions. */
std::uint64_t numberFromJson(const json &field, std::uint64_t maximum)
{
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maximum) {
        throw std::invalid_argument("number is out of range");
    }
    return field.get<std::uint64_t>();
}

std::uint32_t tokensFromJson(const json &field)
{
    return static_cast<std::uint32_t>(numberFromJson(field, maxTokens));
}

std::uint64_t sequenceFromJson(const json &field)
{
    return numberFromJson(field, std::numeric_limits<std::uint64_t>::max());
}

issuer_state stateFromJson(const json &field)
{
    return static_cast<issuer_state>(numberFromJson(field, static_cast<std::uint64_t>(issuer_state::yielded)));
}

query_purpose purposeFromJson(const json &field)
{
    return static_cast<query_purpose>(numberFromJson(field, static_cast<std::uint64_t>(query_purpose::check)));
}

quota_message messageFromJson(const json &fields)
{
    const auto kind = static_cast<message_kind>(
        numberFromJson(fields.at(0), static_cast<std::uint64_t>(message_kind::issuer_handover)));
    std::string sender = nameFromJson(fields.at(1));
    std::string workspace = nameFromJson(fields.at(2));
    switch (kind) {
    case message_kind::token_request:
        return token_request{
            std::move(sender), std::move(workspace), sequenceFromJson(fields.at(3)), tokensFromJson(fields.at(4))};
    case message_kind::token_grant:
        return token_grant{std::move(sender),
                           std::move(workspace),
                           sequenceFromJson(fields.at(3)),
                           fields.at(4).get<bool>(),
                           tokensFromJson(fields.at(5)),
                           milliseconds(numberFromJson(fields.at(6), maxRetryAfterMs)),
                           nameFromJson(fields.at(7))};
    case message_kind::issuer_query:
        return issuer_query{
            std::move(sender), std::move(workspace), sequenceFromJson(fields.at(3)), purposeFromJson(fields.at(4))};
    case message_kind::issuer_status:
        return issuer_status{std::move(sender),
                             std::move(workspace),
                             sequenceFromJson(fields.at(3)),
                             stateFromJson(fields.at(4)),
                             tokensFromJson(fields.at(5)),
                             nameFromJson(fields.at(6))};
    case message_kind::issuer_handover:
        return issuer_handover{std::move(sender), std::move(workspace), tokensFromJson(fields.at(3))};
    }
    throw std::invalid_argument("unknown kind of message");
}

}

const std::string &senderOf(const quota_message &message)
{
    return std::visit([](const auto &content) -> const std::string & { return content.sender; }, message);
}

bool isQuotaMessage(std::string_view datagram)
{
    // MessagePack: a short array, then a small positive number; a heartbeat continues with an array.
    constexpr unsigned char arrayMask = 0xf0;
    constexpr unsigned char shortArray = 0x90;
    constexpr unsigned char firstNonNumber = 0x80;
    return datagram.size() >= 2 && (static_cast<unsigned char>(datagram[0]) & arrayMask) == shortArray
           && static_cast<unsigned char>(datagram[1]) < firstNonNumber;
}

std::string encode(const quota_message &message)
{
    std::string bytes;
    json::to_msgpack(std::visit([](const auto &content) { return toJson(content); }, message), bytes);
    return bytes;
}

leaf::result<quota_message> decodeQuotaMessage(std::string_view datagram)
{
    if (datagram.size() > maxMessageBytes) {
        return leaf::new_error(failure{result_code::frame_malformed, "quota message is too large"});
    }
    try {
        return messageFromJson(json::from_msgpack(datagram));
    } catch (const std::exception &error) {
        return leaf::new_error(failure{result_code::frame_malformed, error.what()});
    }
}

}
