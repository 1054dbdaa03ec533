/**
 * @file
 * The entries of the fleet, as one of them knows them from heartbeats and from the store.
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

/** What an entry says of itself. */
struct fleet_member
{
    std::string name;
    std::string zone;
    std::string host;
    /**
     * Orders the incarnations of a name; a later one replaces an earlier one. Unix time of the start in milliseconds,
     * raised when the time of day was set back between two starts, see member_table.
     */
    std::int64_t startUnixMs = 0;
    /** It serves callers. */
    bool ready = false;
    /** It shuts down, and does not become ready again in this incarnation. */
    bool shuttingDown = false;
    /** See reportsPerSecond(); 0 until the member has said it. */
    std::uint32_t readCapacity = 0;

    bool operator==(const fleet_member &) const = default;
};

/** True when @p a takes a duty for the fleet before @p b: members with more capacity first, then by name. */
bool hasHigherRank(const fleet_member &a, const fleet_member &b);

/** A member, and how long ago it was heard. */
struct gossiped_member
{
    fleet_member member;
    milliseconds age{0};

    bool operator==(const gossiped_member &) const = default;
};

/** Members by name, with the time at which each was heard last. */
class member_table
{
public:
    /** Fleets up to this size exchange heartbeats between all members. */
    static constexpr std::size_t maxFullMeshMembers = 16;
    /** In larger fleets: members of the own zone that a heartbeat is sent to. */
    static constexpr std::size_t gossipFanout = 6;
    /** Members of each zone that send heartbeats to other zones. */
    static constexpr std::size_t crossZoneSendersPerZone = 2;
    /** Silence after which a member counts as down: four heartbeats. */
    static constexpr milliseconds heartbeatTimeout{1700};
    /** The same in larger fleets, where members hear of each other through others. */
    static constexpr milliseconds gossipHeartbeatTimeout{3200};
    /** The same for members of other zones, of which only a few are told. */
    static constexpr milliseconds crossZoneHeartbeatTimeout{8000};
    /** Silence after which a member is forgotten. */
    static constexpr milliseconds removalTimeout{60'000};

    /** A table of the entry @p self. */
    explicit member_table(fleet_member self);

    /** This entry serves callers from now on, unless it is leaving. */
    void setReady();

    /** This entry shuts down. */
    void startShutdown();

    /** This entry. */
    const fleet_member &self() const;

    /** Notes a heartbeat; true when the member is new, was silent, or says something else than before. */
    bool recordHeartbeat(const fleet_member &member, time_point now);

    /** Learns of a member from the store or a peer; it does not count as heard. */
    void recordDiscovered(const fleet_member &member, time_point now);

    /** Notes that another member heard @p member at @p at. */
    void recordGossip(const fleet_member &member, time_point at, time_point now);

    /**
     * What is known of the name of @p member when it is of a later incarnation. A live member that says less than is
     * known of it has started after its time of day was set back, and must be told.
     */
    std::optional<fleet_member> laterIncarnation(const fleet_member &member) const;

    /** Members to send the next heartbeat to. */
    std::vector<fleet_member> heartbeatTargets(time_point now, random_source &random) const;

    /** Up to @p count live members in turn, for a heartbeat; none in a fleet where all hear all. */
    std::vector<gossiped_member> nextGossipedMembers(std::size_t count, time_point now);

    /** The same for a heartbeat to another zone: members of the own zone only. */
    std::vector<gossiped_member> nextZoneGossipedMembers(std::size_t count, time_point now);

    /** Forgets members that have been silent for long. */
    void expire(time_point now);

    /** Members to send heartbeats to, without this entry. */
    std::vector<fleet_member> peers() const;

    /** Live members, this entry included. */
    std::vector<fleet_member> alive(time_point now) const;

    /** Number of live members, this entry included. */
    std::size_t countAlive(time_point now) const;

    /** Members that callers may use, this entry included while it is ready. */
    std::vector<fleet_member> ready(time_point now) const;

    /** True when the fleet is too large for heartbeats between all members. */
    bool isLarge() const;

    /** Number of live members that come before this entry, see comesBefore(). */
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
    bool isSelf(const fleet_member &member);
    milliseconds heartbeatTimeoutOf(const peer &entry) const;
    std::vector<gossiped_member>
    selectGossipedMembers(std::size_t count, time_point now, bool ownZoneOnly, std::string &last) const;
    bool isCrossZoneSender(time_point now) const;
    peer &update(const fleet_member &member, time_point now);

    fleet_member m_self;
    std::map<std::string, peer> m_peers;
    /** Names of the members that were reported last. */
    std::string m_lastGossipedName;
    std::string m_lastZoneGossipedName;
};

}
