/**
 * @file
 * Datagrams about quotas that entries send to each other, and their MessagePack encoding.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomdeck {

/** Requests tokens from an issuer. */
struct token_request
{
    std::string sender;
    std::string workspace;
    /** Increases with each request of the sender; a repetition has the same number. */
    std::uint64_t number = 0;
    std::uint32_t tokens = 0;

    bool operator==(const token_request &) const = default;
};

/** Response to a token_request. */
struct token_grant
{
    std::string sender;
    std::string workspace;
    /** Number of the request. */
    std::uint64_t number = 0;
    /** False if the sender does not issue tokens for the workspace at present. */
    bool isIssuer = true;
    std::uint32_t tokens = 0;
    /** Time after which to ask again; 0 when all tokens were granted. */
    milliseconds retryAfter{0};
    /** The issuer as far as the sender knows, if it is another entry; otherwise empty. */
    std::string issuer;

    bool operator==(const token_grant &) const = default;
};

/** Why an entry queries another one. */
enum class query_purpose {
    /** It only wants to know the state, or whether the other one responds at all. */
    status = 0,
    /** It is about to issue tokens. */
    claim = 1,
    /** It issues tokens, although the other one goes before it. */
    check = 2,
};

/** Asks whether an entry issues the tokens of a workspace. With an empty workspace it only asks for a response. */
struct issuer_query
{
    std::string sender;
    std::string workspace;
    std::uint64_t number = 0;
    query_purpose purpose = query_purpose::status;

    bool operator==(const issuer_query &) const = default;
};

/** What an entry is to the tokens of a workspace. */
enum class issuer_state {
    none = 0,
    /** It issues tokens as soon as it is asked. */
    eligible = 1,
    issuer = 2,
    /** It was the issuer until this query, and left its tokens to the sender of the query. */
    yielded = 3,
};

/** Response to an issuer_query. */
struct issuer_status
{
    std::string sender;
    std::string workspace;
    /** Number of the query. */
    std::uint64_t number = 0;
    issuer_state state = issuer_state::none;
    /** Tokens left in the bucket of an issuer that yielded. */
    std::uint32_t tokens = 0;
    /** The entry that asked the sender in place of the entry that the query came from; empty if there is none. */
    std::string relay;

    bool operator==(const issuer_status &) const = default;
};

/** Makes the receiver the issuer of a workspace in place of the sender. */
struct issuer_handover
{
    std::string sender;
    std::string workspace;
    std::uint32_t tokens = 0;

    bool operator==(const issuer_handover &) const = default;
};

using quota_message = std::variant<token_request, token_grant, issuer_query, issuer_status, issuer_handover>;

/** A message with the name of the entry that it is for. */
struct addressed_quota_message
{
    std::string receiver;
    quota_message message;

    bool operator==(const addressed_quota_message &) const = default;
};

using quota_messages = std::vector<addressed_quota_message>;

/** The name of the entry that sent @p message. */
const std::string &senderOf(const quota_message &message);

/** True for a datagram about quotas, whose first field is a number; that of a heartbeat is an array. */
bool isQuotaMessage(std::string_view datagram);

/** Encodes a message. */
std::string encode(const quota_message &message);

/** Decodes a message. Errors: frame_malformed. */
boost::leaf::result<quota_message> decodeQuotaMessage(std::string_view datagram);

}
