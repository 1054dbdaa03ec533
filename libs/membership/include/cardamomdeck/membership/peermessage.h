/**
 * @file
 * Message that entries exchange, and its MessagePack encoding.
 */
#pragma once

#include "cardamomdeck/configlog/configchange.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomdeck {

/** In-flight requests of an entry at a backend server that is being removed. */
struct in_flight_requests
{
    std::string backend;
    std::uint32_t count = 0;

    bool operator==(const in_flight_requests &) const = default;
};

/** Shutdown announcement of a backend server. */
struct shutdown_announcement
{
    std::string backend;
    /** Version of the server's resource when the announcement was received; a newer version overrides it. */
    log_offset resourceVersion = 0;

    auto operator<=>(const shutdown_announcement &) const = default;
};

/**
 * State that entries exchange, in requests and in replies. A frame consists of
 * a four-byte big-endian length and a MessagePack array.
 */
struct peer_message
{
    /** Name and incarnation of the sender. */
    std::string entry;
    std::uint64_t incarnation = 0;
    /** Offset of the last record that the sender has applied. */
    log_offset appliedOffset = 0;
    /** Offset of the last record that is in use in the sender's request path. */
    log_offset installedOffset = 0;
    bool shuttingDown = false;
    /** True if an entry outside the membership has recently contacted the sender. */
    bool nonMemberSeen = false;
    std::vector<in_flight_requests> inFlightRequests;
    std::vector<shutdown_announcement> shutdownAnnouncements;
    /** Snapshot, if the receiver is too far behind to be updated by records; empty otherwise. */
    std::string snapshot;
    /** Consecutive records that the receiver lacks. */
    std::vector<log_record> records;

    bool operator==(const peer_message &) const = default;
};

/** Maximum size of a frame body, in bytes. */
inline constexpr std::size_t maxPeerFrameBytes = 64U * 1024U * 1024U;

/** Encodes @p message as MessagePack, without the length prefix of the frame. */
std::string encodePeerMessage(const peer_message &message);

/**
 * Decodes a frame body.
 * Errors: frame_malformed.
 */
boost::leaf::result<peer_message> decodePeerMessage(const std::string &bytes);

}
