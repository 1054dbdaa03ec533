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
    store_offset configEnd = 0;
    /** Offset of the last record of a backend server that changed something. */
    store_offset backendsChangedAt = 0;
    /** Offset after the last read record of a backend server. */
    store_offset backendsEnd = 0;

    bool operator==(const view_position &) const = default;
};

/** The changes of backend servers after an offset. */
struct backend_changes
{
    store_offset after = 0;
    std::vector<backend_record> records;

    bool operator==(const backend_changes &) const = default;
};

/** Heartbeat, sent as a datagram. */
struct peer_notice
{
    fleet_member sender;
    view_position position;
    /** Time since the sender's view was known to be complete; none if it never was. */
    std::optional<milliseconds> age;
    /** Live members that the sender knows, itself included. */
    std::size_t liveMembers = 1;
    /** Members that the sender has heard of, so that not every entry has to hear every other. */
    std::vector<member_sighting> sightings;
    /** Changes that are small enough to be sent at once. */
    std::optional<backend_changes> changes;
    /** What is new at this position is on its way through other entries. */
    bool relayed = false;
    /** The position of the last change is an upper bound, see backend_registry::isListed(). */
    bool listed = false;

    bool operator==(const peer_notice &) const = default;
};

/** Asks a peer for what is newer than @p position. */
struct view_question
{
    view_position position;

    bool operator==(const view_question &) const = default;
};

/** What a peer knows beyond the position of a question. */
struct view_answer
{
    view_position position;
    /** The configuration, if it is newer. */
    std::optional<config_transfer> config;
    std::vector<backend_record> backends;
    std::vector<fleet_member> members;

    bool operator==(const view_answer &) const = default;
};

/** News that are too large for a datagram, handed from entry to entry. */
struct view_push
{
    /** What a receiver must know already to take over the backend servers. */
    view_position after;
    /** The newer part of the view; names no members. */
    view_answer news;
    /** Addresses of the entries that the receiver is to hand the news on to. */
    std::vector<std::string> hosts;

    bool operator==(const view_push &) const = default;
};

/** What an entry may send over a connection to a peer. */
using peer_request = std::variant<view_question, view_push>;

/** Deadlines are sent as what is left at @p now. */
std::string encode(const peer_notice &notice, time_point now);
/** @copydoc encode; compressed. */
std::string encode(const view_answer &answer, time_point now);
/** Compressed. */
std::string encode(const view_question &question);
/** @copydoc encode; compressed. */
std::string encode(const view_push &push, time_point now);

/** Largest message in bytes before compression: all back ends of a large fleet. */
inline constexpr std::size_t largestPeerMessage = 8U * 1024U * 1024U;

/** Errors: frame_malformed, and frame_too_large for what exceeds largestPeerMessage uncompressed. */
boost::leaf::result<peer_notice> decodeNotice(std::string_view message, time_point now);
/** @copydoc decodeNotice */
boost::leaf::result<peer_request> decodeRequest(std::string_view message, time_point now);
/** @copydoc decodeNotice */
boost::leaf::result<view_answer> decodeAnswer(std::string_view message, time_point now);

}
