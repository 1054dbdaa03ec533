/**
 * @file
 * The records of the configuration stream.
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

/** Position of a record in a stream, counted from 1; 0 stands before the first record. */
using log_offset = std::uint64_t;

/** A record as the log service stores it. */
struct log_record
{
    log_offset offset = 0;
    std::string data;

    bool operator==(const log_record &) const = default;
};

/** Identity of a resource. */
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
    /** The version that must be current: 0 for "does not exist", nothing for "any". */
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

/** An entry as the other entries and the callers know it. */
struct entry_member
{
    std::string name;
    std::string zone;
    /** Distinguishes two runs of an entry with the same name. */
    std::uint64_t incarnation = 0;
    socket_address trafficAddress;
    socket_address apiAddress;
    socket_address peerAddress;

    bool operator==(const entry_member &) const = default;
};

/** Adds an entry, or replaces an earlier incarnation of the same name. */
struct join_change
{
    entry_member member;
    /** The membership version that must be current. */
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

/** One change with the identity that makes its repetition harmless. */
struct config_change
{
    std::string id;
    std::variant<put_change, delete_change, join_change, leave_change> action;

    bool operator==(const config_change &) const = default;
};

/** The JSON text of @p value, as it is appended to the log. */
std::string encodeChange(const config_change &value);

/** Errors: record_corrupt, record_unsupported. */
boost::leaf::result<config_change> decodeChange(const std::string &data);

/** JSON form of a member, as used in records and snapshots. */
nlohmann::json memberToJson(const entry_member &member);

/** Errors: throws nlohmann::json::exception on a malformed member. */
entry_member memberFromJson(const nlohmann::json &value);

}
