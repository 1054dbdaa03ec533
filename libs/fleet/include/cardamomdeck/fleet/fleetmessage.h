/**
 * @file
 * Messages between entries, and their MessagePack form.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/fleet/backendregistry.h"
#include "cardamomdeck/fleet/confighistory.h"
#include "cardamomdeck/fleet/membertable.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomdeck {

/** How much an entry has read of the store. */
struct view_position
{
    std::uint64_t configVersion = 0;
    /** Offset after the last read record of the configuration's topic. */
    store_offset configEndOffset = 0;
    /** Offset of the last record of a backend server that changed something. */
    store_offset lastBackendChangeOffset = 0;
    /** Offset after the last read record of a backend server. */
    store_offset backendsEndOffset = 0;

    bool operator==(const view_position &) const = default;
};

/** The changes of backend servers after an offset. */
struct backend_changes
{
    store_offset afterOffset = 0;
    std::vector<backend_record> records;

    bool operator==(const backend_changes &) const = default;
};

/** Heartbeat, sent as a datagram. */
struct heartbeat_message
{
    fleet_member sender;
    view_position position;
    /** Time since the sender's view was known to be complete; none if it never was. */
    std::optional<milliseconds> viewAge;
    /** Live members that the sender knows, itself included. */
    std::size_t liveMembers = 1;
    /** Members that the sender has heard of, so that not every entry has to hear every other. */
    std::vector<gossiped_member> gossipedMembers;
    /** Changes that are small enough to be sent at once. */
    std::optional<backend_changes> changes;
    /** What is new at this position is on its way through other entries. */
    bool relayed = false;
    /** The position of the last change is an upper bound, see backend_registry::isListed(). */
    bool onlyInitialListing = false;

    bool operator==(const heartbeat_message &) const = default;
};

/** Asks a peer for what is newer than @p position. */
struct view_request
{
    view_position position;

    bool operator==(const view_request &) const = default;
};

/** What a peer knows beyond the position of a question. */
struct view_response
{
    view_position position;
    /** The configuration, if it is newer. */
    std::optional<config_update> config;
    std::vector<backend_record> backends;
    std::vector<fleet_member> members;

    bool operator==(const view_response &) const = default;
};

/** News that are too large for a datagram, handed from entry to entry. */
struct view_update
{
    /** What a receiver must know already to take over the backend servers. */
    view_position basePosition;
    /** The newer part of the view; names no members. */
    view_response changes;
    /** Addresses of the entries that the receiver is to hand the news on to. */
    std::vector<std::string> relayHosts;

    bool operator==(const view_update &) const = default;
};

/** What an entry may send over a connection to a peer. */
using peer_request = std::variant<view_request, view_update>;

/** Deadlines are sent as what is left at @p now. */
std::string encode(const heartbeat_message &notice, time_point now);
/** @copydoc encode; compressed. */
std::string encode(const view_response &answer, time_point now);
/** Compressed. */
std::string encode(const view_request &question);
/** @copydoc encode; compressed. */
std::string encode(const view_update &push, time_point now);

/** Largest message in bytes before compression: all back ends of a large fleet. */
inline constexpr std::size_t maxPeerMessageBytes = 8U * 1024U * 1024U;

/** Errors: frame_malformed, and frame_too_large for what exceeds largestPeerMessage uncompressed. */
boost::leaf::result<heartbeat_message> decodeHeartbeat(std::string_view message, time_point now);
/** @copydoc decodeNotice */
boost::leaf::result<peer_request> decodeRequest(std::string_view message, time_point now);
/** @copydoc decodeNotice */
boost::leaf::result<view_response> decodeViewResponse(std::string_view message, time_point now);

}
