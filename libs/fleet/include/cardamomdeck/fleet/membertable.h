/**
 * @file
 * The entries of the fleet, as one of them knows them from heartbeats and from the store.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cardamomdeck {

/** What an entry says of itself. */
struct fleet_member
{
    std::string name;
    std::string zone;
    std::string host;
    /** Unix time of its start in milliseconds; a later one replaces an earlier one. */
    std::int64_t bornMs = 0;
    /** It serves callers. */
    bool ready = false;

    bool operator==(const fleet_member &) const = default;
};

/** Members by name, with the time at which each was heard last. */
class member_table
{
public:
    /** Silence after which a member counts as down: four heartbeats. */
    static constexpr milliseconds silenceLimit{1700};
    /** Silence after which a member is forgotten. */
    static constexpr milliseconds forgetLimit{60'000};

    /** A table of the entry @p self. */
    explicit member_table(fleet_member self);

    /** Changes what this entry says of itself. */
    void setSelf(fleet_member self);

    /** This entry. */
    const fleet_member &self() const;

    /** Notes a heartbeat; true when the member is new, was silent, or says something else than before. */
    bool heard(const fleet_member &member, time_point now);

    /** Learns of a member from the store or a peer; it does not count as heard. */
    void learned(const fleet_member &member, time_point now);

    /** Forgets members that have been silent for long. */
    void expire(time_point now);

    /** Members to send heartbeats to, without this entry. */
    std::vector<fleet_member> peers() const;

    /** Live members, this entry included. */
    std::vector<fleet_member> alive(time_point now) const;

    /** Members that callers may use, this entry included while it is ready. */
    std::vector<fleet_member> ready(time_point now) const;

    /** Number of live members whose names come before this entry's. */
    std::size_t rank(time_point now) const;

private:
    struct peer
    {
        fleet_member member;
        time_point knownSince;
        time_point heardAt;
        bool everHeard = false;
    };

    bool isAlive(const peer &entry, time_point now) const;
    peer &update(const fleet_member &member, time_point now);

    fleet_member m_self;
    std::map<std::string, peer> m_peers;
};

}
