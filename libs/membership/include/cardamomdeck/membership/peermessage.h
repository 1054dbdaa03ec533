/**
 * @file
 * The message that entries exchange, and its MessagePack form.
 */
#pragma once

#include "cardamomdeck/configlog/configchange.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Requests that an entry holds at a back end that is leaving. */
struct in_flight_requests
{
    std::string backend;
    std::uint32_t count = 0;

    bool operator==(const in_flight_requests &) const = default;
};

/** A back end that announced its own shutdown. */
struct shutdown_announcement
{
    std::string backend;
    /** Version of the back end's resource when the sign was seen; a newer version overrules the sign. */
    log_offset resourceVersion = 0;

    auto operator<=>(const shutdown_announcement &) const = default;
};

/**
 * State that one entry tells another. Sent as a request and as its reply, in
 * frames of a four-byte big-endian length and a MessagePack array.
 */
struct peer_message
{
    /** Name and incarnation of the sender. */
    std::string entry;
    std::uint64_t incarnation = 0;
    /** Last record that the sender has folded. */
    log_offset appliedOffset = 0;
    /** Last record that the sender's request path acts on. */
    log_offset installedOffset = 0;
    /** True when the sender is shutting down. */
    bool shuttingDown = false;
    /** True when the sender has lately heard an entry that is not a member. */
    bool nonMemberSeen = false;
    std::vector<in_flight_requests> inFlightRequests;
    std::vector<shutdown_announcement> shutdownAnnouncements;
    /** A snapshot, when the receiver is too far behind for records; empty otherwise. */
    std::string snapshot;
    /** Consecutive records that the receiver does not have. */
    std::vector<log_record> records;

    bool operator==(const peer_message &) const = default;
};

/** Largest frame body, in bytes. */
inline constexpr std::size_t maxPeerFrameBytes = 64U * 1024U * 1024U;

/** MessagePack bytes of @p message, without the length. */
std::string encodePeerMessage(const peer_message &message);

/** Errors: frame_malformed. */
boost::leaf::result<peer_message> decodePeerMessage(const std::string &bytes);

}
