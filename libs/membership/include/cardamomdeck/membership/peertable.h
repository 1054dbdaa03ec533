/**
 * @file
 * State of an entry's peers, and the view lease and the accepted records that follow from it.
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

/** Duration of the view lease, counted from the last confirmation of the view. */
inline constexpr milliseconds viewLease{2500};

/** State of a peer as of its last complete reply. */
struct peer_state
{
    /** Time at which the request was sent whose reply contained this state. */
    time_point lastContactAt;
    peer_message message;
};

/**
 * Tracks which log records each member has installed.
 *
 * A record is accepted once a majority of the members has installed it. An
 * entry may use its view until the view lease expires. The lease starts at the
 * last time at which the entry read the log to its end or was in contact with
 * a majority of the members. Either way it receives every accepted record, so
 * that no entry uses an older view once one lease duration has passed since
 * the acceptance.
 */
class peer_table
{
public:
    /** Creates the table of the entry named @p self. */
    explicit peer_table(std::string self);

    /**
     * Sets the members as of @p membershipVersion; has no effect if that is
     * the present version. Discards the state of peers that were removed or
     * replaced by another incarnation.
     */
    void setMembers(const std::map<std::string, entry_member> &members, log_offset membershipVersion, time_point now);

    /** Records that this entry's request path uses the record at offset @p installed. */
    void setInstalledOffset(log_offset installed, time_point now);

    /** Records that every log record up to the end of the log at @p asOf has been applied; renews the view lease. */
    void confirmLogRead(time_point asOf);

    /**
     * Handles the reply to a request sent at @p asOf. @p complete is false if
     * the peer has records that this entry still lacks; such a reply updates
     * only the peer's installed offset. Replies of non-members and of other
     * incarnations are ignored.
     */
    void handleReply(const peer_message &message, bool complete, time_point asOf, time_point now);

    /** Expiry time of the view lease. */
    time_point leaseExpiresAt() const;

    /** Offset of the last record that a majority of the members has installed. */
    log_offset acceptedOffset() const;

    /**
     * Offset of the last record that every member has installed, or that was
     * accepted at least one lease duration ago, so that no entry can use an
     * older view.
     */
    log_offset propagatedOffset(time_point now) const;

    /** Members that are not known to have installed record @p offset. */
    std::vector<std::string> laggingMembers(log_offset offset) const;

    /** Time at which record @p offset was first seen to be accepted; std::nullopt if it is not accepted. */
    std::optional<time_point> acceptedAt(log_offset offset) const;

    /** Offset of the last record that member @p name is known to have installed; 0 if there is none. */
    log_offset installedOffset(const std::string &name) const;

    /** Members other than this entry without contact since @p since. */
    std::vector<std::string> membersWithoutContactSince(time_point since) const;

    /** True if this entry has had contact with a majority of the members, itself included, since @p since. */
    bool hasMajorityContactSince(time_point since) const;

    /** Peers that have announced their shutdown. */
    std::set<std::string> shuttingDownEntries() const;

    /** Shutdown announcements of backend servers, as reported by the peers. */
    std::set<shutdown_announcement> shutdownAnnouncements() const;

    /**
     * Members other than this entry that have requests in flight to
     * @p backend, or may have: those whose last reply does not report that
     * they have installed record @p offset.
     */
    std::vector<std::string> membersWithInFlightRequests(const std::string &backend, log_offset offset) const;

    /** True if an entry outside the membership has recently contacted any peer. */
    bool hasPeerSeenNonMember() const;

    /** Time at which the members were last set to a new version. */
    time_point membershipChangedAt() const;

    /** Returns the state of peer @p name, or nullptr if there is none. */
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
    /** Installed offsets by member name; they never decrease for the same incarnation. */
    std::map<std::string, log_offset> m_installedOffsets;
    std::optional<time_point> m_logReadAt;
    std::deque<acceptance> m_acceptances;
};

}
