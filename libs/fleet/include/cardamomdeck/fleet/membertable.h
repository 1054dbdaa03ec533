/**
 * @file
 * The members of the fleet that an entry has discovered by heartbeats, gossip and the store.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Description of an entry, as it announces itself. */
struct fleet_member
{
    std::string name;
    std::string zone;
    std::string host;
    /**
     * Incarnation number: orders the incarnations of a name, and a later one replaces an earlier one. Unix time of the
     * start in milliseconds, raised if the clock was set back between two starts, see member_table::laterIncarnation().
     */
    std::int64_t startUnixMs = 0;
    /** Whether it serves callers. */
    bool ready = false;
    /** Whether it is shutting down; it does not become ready again in this incarnation. */
    bool shuttingDown = false;
    /** See estimateReadCapacity(); 0 until the member has announced it. */
    std::uint32_t readCapacity = 0;

    bool operator==(const fleet_member &) const = default;
};

/** True when @p a ranks before @p b for fleet-wide tasks: higher read capacity first, then by name. */
bool hasHigherRank(const fleet_member &a, const fleet_member &b);

/** A member as gossiped, with the time since its last heartbeat. */
struct gossiped_member
{
    fleet_member member;
    milliseconds age{0};

    bool operator==(const gossiped_member &) const = default;
};

/** Members by name, with the time of the last heartbeat of each. */
class member_table
{
public:
    /** Largest fleet in which all members exchange heartbeats with each other. */
    static constexpr std::size_t maxFullMeshMembers = 16;
    /** In larger fleets: number of members of the own zone that each heartbeat is sent to. */
    static constexpr std::size_t gossipFanout = 6;
    /** In larger fleets: number of members per zone that send heartbeats to other zones. */
    static constexpr std::size_t crossZoneSendersPerZone = 2;
    /** Time without a heartbeat after which a member counts as down: four heartbeat intervals. */
    static constexpr milliseconds heartbeatTimeout{1700};
    /** The timeout in larger fleets, where heartbeat times are spread by gossip. */
    static constexpr milliseconds gossipHeartbeatTimeout{3200};
    /** The timeout in larger fleets for members of other zones; only a few members receive cross-zone heartbeats. */
    static constexpr milliseconds crossZoneHeartbeatTimeout{8000};
    /** Time without a heartbeat after which a member is removed. */
    static constexpr milliseconds removalTimeout{60'000};

    /** Largest step back of the clock between two starts that a restarted entry makes up for; see laterIncarnation().
     */
    static constexpr milliseconds maxClockSetback{24 * 3600 * 1000};

    /** Creates the table of the entry @p self. */
    explicit member_table(fleet_member self);

    /** Marks this entry as ready, unless it is shutting down. */
    void setReady();

    /** Marks this entry as shutting down. */
    void startShutdown();

    /** This entry. */
    const fleet_member &self() const;

    /** Records a heartbeat; returns true when the member is new, was not alive or has changed. */
    bool recordHeartbeat(const fleet_member &member, time_point now);

    /** Adds a member that was found in the store or in a peer's view response; this does not count as a heartbeat. */
    void recordDiscovered(const fleet_member &member, time_point now);

    /** Records a heartbeat of @p member at @p at that another member reported. */
    void recordGossip(const fleet_member &member, time_point at, time_point now);

    /**
     * The known member of the same name, if it is of a later incarnation than @p member. A live member with an earlier
     * incarnation than known has restarted after its clock was set back; it must be sent the known one so that it can
     * raise its startUnixMs.
     */
    std::optional<fleet_member> laterIncarnation(const fleet_member &member) const;

    /** Members to send the next heartbeat to: all, or a random selection in larger fleets. */
    std::vector<fleet_member> heartbeatTargets(time_point now, random_source &random) const;

    /**
     * Up to @p count recently alive members in rotation, for a heartbeat; none when all members exchange heartbeats.
     */
    std::vector<gossiped_member> nextGossipedMembers(std::size_t count, time_point now);

    /** Like nextGossipedMembers(), for a heartbeat to another zone: members of the own zone only. */
    std::vector<gossiped_member> nextZoneGossipedMembers(std::size_t count, time_point now);

    /** Removes members without a heartbeat for removalTimeout. */
    void expire(time_point now);

    /** All other members, alive or not. */
    std::vector<fleet_member> peers() const;

    /** Live members, this entry included. */
    std::vector<fleet_member> alive(time_point now) const;

    /** Number of live members, this entry included. */
    std::size_t countAlive(time_point now) const;

    /** Live members that serve callers, this entry included while it is ready. */
    std::vector<fleet_member> ready(time_point now) const;

    /** True when the fleet is too large for heartbeats between all members. */
    bool isLarge() const;

    /** Number of live members that rank before this entry, see hasHigherRank(). */
    std::size_t rank(time_point now) const;

private:
    struct peer
    {
        fleet_member member;
        time_point knownSince;
        time_point lastAliveAt;
        bool everAlive = false;
    };

    bool isAlive(const peer &entry, time_point now) const;
    /** True when @p member is this entry; raises startUnixMs of this entry above that of an earlier incarnation. */
    bool isSelf(const fleet_member &member);
    milliseconds heartbeatTimeoutOf(const peer &entry) const;
    std::vector<gossiped_member>
    selectGossipedMembers(std::size_t count, time_point now, bool ownZoneOnly, std::string &lastName) const;
    bool isCrossZoneSender(time_point now) const;
    peer &update(const fleet_member &member, time_point now);

    fleet_member m_self;
    std::map<std::string, peer> m_peers;
    /** Names of the members that were gossiped last; the rotation continues after them. */
    std::string m_lastGossipedName;
    std::string m_lastZoneGossipedName;
};

}
