/**
 * @file
 * Merges the store's records of backend servers into the set of usable servers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/backendserver.h"
#include "cardamomdeck/fleet/topicposition.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** One record about a backend server; a record without a server is its removal. */
struct backend_record
{
    std::string id;
    topic_position position;
    std::optional<backend_server> server;

    bool operator==(const backend_record &) const = default;
};

/**
 * The newest known record of each backend server. Records from the store and from peers may arrive late, more than once
 * and out of order.
 *
 * During a store outage registrations may expire although the servers are alive, and a store that is restored from an
 * older copy has lost registrations. Such a server stays usable for a grace period, in which it can register again.
 */
class backend_registry
{
public:
    /** Time in which a server whose registration expired in a store outage, or was lost, can register again. */
    static constexpr milliseconds expiryGracePeriod{2000};

    /**
     * Applies one record. Returns true when a server was added, removed or changed. A new sequence number or warm-up
     * time alone is no change, and neither is a removal that starts a grace period. In a service with a limit for cold
     * servers it is a change if a server turns cold, see setWarmupLimitedServices().
     */
    bool apply(const backend_record &record, time_point now);

    /**
     * Applies a change that a peer passes on, like apply(). It is passed on again also if it changes nothing here:
     * other peers may have seen records before it that this entry has not.
     */
    bool applyPeerChange(const backend_record &record, time_point now);

    /**
     * Applies a complete listing of the store up to @p end and removes servers that are not in it. Returns true on a
     * change, like apply(). A listing of a later era starts the grace period of servers whose records it lacks; one of
     * an earlier era than endPosition() is ignored.
     */
    bool replaceAll(const std::vector<backend_record> &listing, const topic_position &end, time_point now);

    /** The records and disputes of a peer that has followed the topic up to an end. */
    struct peer_listing
    {
        const std::vector<backend_record> &records;
        const std::vector<std::string> &disputedServers;
        const topic_position &end;
        /** The peer's lastChange(); the positions of the records are mostly of reports that changed nothing. */
        std::optional<topic_position> lastChange;
    };

    /** Applies all records of a peer, as replaceAll() does. */
    bool applyPeerListing(const peer_listing &listing, time_point now);

    /** Sets the services whose servers have a limit on their requests while they are cold. */
    void setWarmupLimitedServices(std::set<std::string> services);

    /**
     * Minimum time by which a report extends the end of a warm-up for the server to have turned cold again. The end is
     * counted from when a report is read, up to read_schedule::maxReadAge later than it was written.
     */
    static constexpr milliseconds minWarmupExtension{1500};

    /** Starts the grace period after a store outage. */
    void recordStoreAvailable(time_point now);

    /**
     * Time after which a server must be listed again that the store lists although this entry knows its removal. Either
     * the store has lost the removal, and removes the record of a server without reports within this time; or the
     * server has registered again.
     */
    static constexpr milliseconds disputeTimeout{5000};

    /** Ids of the servers that the store lists although this entry knows their removal. */
    std::vector<std::string> disputedServers() const;

    /** Time from which on a complete listing of the store is necessary; none if it is not. */
    std::optional<time_point> listingNeededAt() const;

    /** Ends the grace periods that are over; the servers become unusable. Returns true when there was one. */
    bool endGracePeriods(time_point now);

    /**
     * Servers that may receive requests. Returns the same object until a server changes, because fleets have thousands
     * of them.
     */
    backends_by_service_ptr usable() const;

    /** Effective changes at positions from @p from on, for peers. */
    std::vector<backend_record> changesSince(const topic_position &from) const;

    /** The newest record of each backend server, also of removed ones, for applyPeerListing() of a peer. */
    std::vector<backend_record> allRecords() const;

    /** Position of the last effective change, or none; an upper bound of it while hasOnlyInitialListing(). */
    std::optional<topic_position> lastChange() const;

    /**
     * True while no change has followed the initial listing. A listing has the newest record of each server, which may
     * be a report that changed nothing, so lastChange() differs between entries that read their listings at
     * different times.
     */
    bool hasOnlyInitialListing() const;

    /** True when no record up to and including @p position is new; always true if @p position is none. */
    bool isUpToDateWith(const std::optional<topic_position> &position) const;

    /** Position up to which all records have been applied. */
    const topic_position &endPosition() const;

    /**
     * End of the last complete listing. Changes before it are known by their result only: a server that came and went
     * before the listing is not in it, so changesSince() an earlier position does not tell that it went.
     */
    const topic_position &listedUpTo() const;

    /** Raises endPosition() to @p end within its era; other values are ignored, as a later era needs a listing. */
    void advanceTo(const topic_position &end);

private:
    struct known_backend
    {
        std::optional<backend_server> server;
        topic_position position;
        /** Position of the last change, including the start of a grace period. */
        std::optional<topic_position> lastChange;
        /** Position of the last record with the newest report, and of the last removal. */
        topic_position registeredAt;
        topic_position removedAt;
        /** Incarnation and sequence number of the newest report; only later ones are applied. */
        std::int64_t lastStartUnixMs = 0;
        std::uint64_t lastSequence = 0;
        bool removed = false;
        /** Removed according to a listing or a peer; this entry has not read the record of the removal. */
        bool removalUnread = false;
        /** Removed, but listed by the store with a report that is not newer than the removal. */
        bool disputed = false;
        /** Set during the grace period of an expired registration. */
        std::optional<time_point> graceEndsAt;
    };

    bool applyReport(known_backend &known, const backend_record &record, time_point now);
    void recordChange(known_backend &known);
    /** Applies a record that this entry has not read itself; a removal may only be inferred. */
    bool applyUnread(const backend_record &record, time_point now);
    bool applyRemoval(known_backend &known, const topic_position &position, time_point now);
    /**
     * True if a record at @p position tells again what this entry knows from one at @p known, of an earlier era. It
     * counts as a change, because other entries may not have seen the record that the store has lost.
     */
    bool replacesLostRecord(const topic_position &known, const topic_position &position) const;
    bool applyListing(const peer_listing &listing, bool isOwnListing, time_point now);
    /** True if @p record repeats the newest report of @p known, whose registration the store has lost. */
    bool isRegisteredAgain(const known_backend &known, const backend_record &record) const;
    void updateDisputes(const std::set<std::string> &listed, bool isOwnListing, time_point now);
    /** True if @p next tells that the server @p known of a service with a limit has turned cold again. */
    bool turnsCold(const backend_server &known, const backend_server &next, time_point now) const;

    std::map<std::string, known_backend> m_backends;
    /** Cached result of usable(); null after a change. */
    mutable backends_by_service_ptr m_usable;
    topic_position m_end;
    topic_position m_listedUpTo;
    /** End of the listing with which this entry began to follow the present era. */
    topic_position m_eraListedUpTo;
    std::optional<time_point> m_listingNeededAt;
    /** Offset 0 is that of the first record of the topic, so it cannot stand for "no change". */
    std::optional<topic_position> m_lastChange;
    bool m_onlyInitialListing = false;
    std::optional<time_point> m_graceEndsAt;
    std::set<std::string> m_warmupLimitedServices;
};

}
