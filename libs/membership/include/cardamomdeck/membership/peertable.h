/**
 * @file
 * What one entry knows about the others, and what follows from it.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/configlog/configstate.h"
#include "cardamomdeck/membership/peermessage.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** How long a confirmed view may be acted on. */
inline constexpr milliseconds viewLease{2500};

/** A peer as it was last heard. */
struct peer_state
{
    /** When the request was sent whose reply brought this state. */
    time_point lastContactAt;
    peer_message message;
};

/**
 * Tracks which records are in force where.
 *
 * A record counts as accepted when a majority of the members has installed
 * it. An entry may act on its view until the view lease ends; the lease runs
 * from the last moment at which the entry read the end of the log, or heard
 * from a majority of the members. Both ways bring it every accepted record,
 * so one lease after acceptance no entry acts on an older view.
 */
class peer_table
{
public:
    /** The table of the entry @p self. */
    explicit peer_table(std::string self);

    /** Takes the members of @p state, and notes that this entry has folded it. */
    void setMembers(const std::map<std::string, entry_member> &members, log_offset membershipVersion, time_point now);

    /** Notes that this entry's request path acts on record @p installed. */
    void setInstalledOffset(log_offset installed, time_point now);

    /** Notes that every record of the log up to its end at @p asOf has been folded. */
    void confirmLogRead(time_point asOf);

    /**
     * Notes a reply to a request sent at @p asOf. @p complete is false when
     * the peer has records that this entry still lacks.
     */
    void handleReply(const peer_message &message, bool complete, time_point asOf, time_point now);

    /** The end of the view lease. */
    time_point leaseExpiresAt() const;

    /** Last record that a majority of the members has installed. */
    log_offset acceptedOffset() const;

    /** Last record that every entry acts on, or that no entry can act without any more. */
    log_offset propagatedOffset(time_point now) const;

    /** Members that have not installed record @p offset, as far as known. */
    std::vector<std::string> laggingMembers(log_offset offset) const;

    /** When a majority was first seen to have installed record @p offset; nothing while it is not accepted. */
    std::optional<time_point> acceptedAt(log_offset offset) const;

    /** Last record that member @p name is known to have installed. */
    log_offset installedOffset(const std::string &name) const;

    /** Members that have not been heard since @p since. */
    std::vector<std::string> membersWithoutContactSince(time_point since) const;

    /** True when a majority of the members, this entry included, has been heard since @p since. */
    bool hasMajorityContactSince(time_point since) const;

    /** Members that said they are shutting down. */
    std::set<std::string> shuttingDownEntries() const;

    /** Signs that back ends gave to any entry. */
    std::set<shutdown_announcement> shutdownAnnouncements() const;

    /**
     * Members that hold requests at @p backend, or may: those that have not
     * installed @p offset or not been heard since they did.
     */
    std::vector<std::string> membersWithInFlightRequests(const std::string &backend, log_offset offset) const;

    /** True when any peer has lately heard an entry that is not a member. */
    bool hasPeerSeenNonMember() const;

    /** When the members changed last. */
    time_point membershipChangedAt() const;

    /** The state of peer @p name, or null. */
    const peer_state *peer(const std::string &name) const;

private:
    std::size_t majoritySize() const;
    bool isMember(const std::string &name) const;
    std::optional<time_point> majorityContactAt() const;
    void updateAcceptedOffset(time_point now);

    struct acceptance
    {
        log_offset offset;
        time_point at;
    };

    std::string m_self;
    std::map<std::string, entry_member> m_members;
    log_offset m_membershipVersion = 0;
    time_point m_membershipChangedAt;
    std::map<std::string, peer_state> m_peers;
    /** Installed offsets by member and incarnation; they never go down. */
    std::map<std::string, log_offset> m_installedOffsets;
    std::optional<time_point> m_logReadAt;
    std::deque<acceptance> m_acceptances;
};

}
