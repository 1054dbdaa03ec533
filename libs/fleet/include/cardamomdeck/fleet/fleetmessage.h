/**
 * @file
 * Messages between entries and their MessagePack encoding.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/fleet/backendregistry.h"
#include "cardamomdeck/fleet/confighistory.h"
#include "cardamomdeck/fleet/evacuationtable.h"
#include "cardamomdeck/fleet/membertable.h"
#include "cardamomdeck/fleet/zoneloadreport.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomdeck {

/** Position of an entry's view in the store's topics. */
struct view_position
{
    std::uint64_t configVersion = 0;
    /** Position after the last read record of the configuration topic. */
    topic_position configEnd;
    /** Position of the last effective change of a backend server; none before the first one. */
    std::optional<topic_position> lastBackendChange;
    /** Position after the last read backend record. */
    topic_position backendsEnd;
    /** See backend_registry::listedUpTo(). */
    topic_position backendsListedUpTo;

    bool operator==(const view_position &) const = default;
};

/** Changes of backend servers after a position; none for those from the start of the topic. */
struct backend_changes
{
    std::optional<topic_position> after;
    std::vector<backend_record> records;

    bool operator==(const backend_changes &) const = default;
};

/** Heartbeat, sent as a datagram. */
struct heartbeat_message
{
    fleet_member sender;
    view_position position;
    /** Age of the sender's view: time since it was last known to be complete; none if it never was. */
    std::optional<milliseconds> viewAge;
    /** Number of live members known to the sender, itself included. */
    std::size_t liveMembers = 1;
    /** Gossip about other members, so that heartbeats between all members are not necessary. */
    std::vector<gossiped_member> gossipedMembers;
    /** Recent changes, if they are few enough for a datagram. */
    std::optional<backend_changes> changes;
    /** The changes up to this position are being relayed by other entries. */
    bool relayed = false;
    /** position.lastBackendChange is an upper bound, see backend_registry::hasOnlyInitialListing(). */
    bool onlyInitialListing = false;
    /** Loads of zones; empty while zone_overflow is off. */
    std::vector<zone_load_report> zoneLoads;
    /** All evacuations that the sender knows, ended ones included; entries of earlier versions send none. */
    std::vector<evacuation_record> evacuations;

    bool operator==(const heartbeat_message &) const = default;
};

/** Requests the changes after @p position from a peer. */
struct view_request
{
    view_position position;
    /**
     * The sender takes view_response::completeBackends; false for entries of earlier versions, whose positions have no
     * eras.
     */
    bool acceptsListing = true;

    bool operator==(const view_request &) const = default;
};

/** Response to a view request: the changes after its position. */
struct view_response
{
    view_position position;
    /** The configuration, if it is newer than the requested position. */
    std::optional<config_update> config;
    std::vector<backend_record> backends;
    /** The list has all backend servers; others have been removed. */
    bool completeBackends = false;
    /** See backend_registry::disputedServers(); only with completeBackends. */
    std::vector<std::string> disputedBackends;
    std::vector<fleet_member> members;
    /** @copydoc heartbeat_message::evacuations */
    std::vector<evacuation_record> evacuations;

    bool operator==(const view_response &) const = default;
};

/** View changes that are too large for a datagram, relayed from entry to entry. */
struct view_update
{
    /** Position that the receiver must have reached to apply the backend changes. */
    view_position basePosition;
    /** The newer part of the view, without members. */
    view_response changes;
    /** Addresses of the entries that the receiver relays the update to. */
    std::vector<std::string> relayHosts;

    bool operator==(const view_update &) const = default;
};

/** A request that an entry sends over a connection to a peer. */
using peer_request = std::variant<view_request, view_update>;

/** Encodes a message; time points are sent as the remaining time at @p now. */
std::string encode(const heartbeat_message &heartbeat, time_point now);
/** @copydoc encode; compressed. */
std::string encode(const view_response &response, time_point now);
/** Encodes a view request; compressed. */
std::string encode(const view_request &request);
/** @copydoc encode; compressed. */
std::string encode(const view_update &update, time_point now);

/** Largest message in bytes before compression; fits all backend servers of a large fleet. */
inline constexpr std::size_t maxPeerMessageBytes = 8U * 1024U * 1024U;

/** Decodes a heartbeat. Errors: frame_malformed. */
boost::leaf::result<heartbeat_message> decodeHeartbeat(std::string_view message, time_point now);
/**
 * Decodes a view request or a view update. Errors: frame_malformed, and frame_too_large for messages that exceed
 * maxPeerMessageBytes uncompressed.
 */
boost::leaf::result<peer_request> decodeRequest(std::string_view message, time_point now);
/** Decodes a view response. Errors: as decodeRequest(). */
boost::leaf::result<view_response> decodeViewResponse(std::string_view message, time_point now);

}
