/**
 * @file
 * Records of the configuration stream.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"
#include "cardamomdeck/model/resource.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cardamomdeck {

/** Position of a record in a stream, starting at 1; 0 is the position before the first record. */
using log_offset = std::uint64_t;

/** A record as stored by the log service. */
struct log_record
{
    log_offset offset = 0;
    std::string data;

    bool operator==(const log_record &) const = default;
};

/** Identifies a resource by kind and name. */
struct resource_key
{
    resource_kind kind = resource_kind::service;
    std::string name;

    auto operator<=>(const resource_key &) const = default;
};

/** Creates or replaces a resource. */
struct put_change
{
    resource_key key;
    /** Version that must be current: 0 if the resource must not exist, std::nullopt for any version. */
    std::optional<log_offset> expectedVersion;
    nlohmann::json body;

    bool operator==(const put_change &) const = default;
};

/** Deletes a resource. */
struct delete_change
{
    resource_key key;
    std::optional<log_offset> expectedVersion;

    bool operator==(const delete_change &) const = default;
};

/** An entry in the membership, with the addresses that other entries and callers use. */
struct entry_member
{
    std::string name;
    std::string zone;
    /** Distinguishes successive runs of an entry with the same name. */
    std::uint64_t incarnation = 0;
    socket_address trafficAddress;
    socket_address apiAddress;
    socket_address peerAddress;

    bool operator==(const entry_member &) const = default;
};

/** Adds an entry, or replaces an earlier incarnation with the same name. */
struct join_change
{
    entry_member member;
    /** Membership version that must be current. */
    log_offset expectedMembershipVersion = 0;

    bool operator==(const join_change &) const = default;
};

/** Removes an entry. */
struct leave_change
{
    std::string name;
    std::uint64_t incarnation = 0;
    log_offset expectedMembershipVersion = 0;

    bool operator==(const leave_change &) const = default;
};

/** A change with an id that makes repeated appends idempotent. */
struct config_change
{
    std::string id;
    std::variant<put_change, delete_change, join_change, leave_change> action;

    bool operator==(const config_change &) const = default;
};

/** Returns the JSON text of @p value, as appended to the log. */
std::string encodeChange(const config_change &value);

/**
 * Decodes the JSON text of a change.
 * Errors: record_corrupt, record_unsupported, resource_invalid.
 */
boost::leaf::result<config_change> decodeChange(const std::string &data);

/** Returns the JSON form of a member, as used in records and snapshots. */
nlohmann::json memberToJson(const entry_member &member);

/** Decodes a member. Throws nlohmann::json::exception if the member is malformed. */
entry_member memberFromJson(const nlohmann::json &value);

}
