/**
 * @file
 * Merges the store's records of backend servers into the set of usable servers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/backendserver.h"

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
    store_offset offset = 0;
    std::optional<backend_server> server;

    bool operator==(const backend_record &) const = default;
};

/**
 * The newest known record of each backend server. Records from the store and from peers may arrive late, more than once
 * and out of order.
 *
 * During a store outage registrations may expire although the servers are alive. Such a server stays usable for a grace
 * period, in which it can register again.
 */
class backend_registry
{
public:
    /** Time in which a server whose registration expired during a store outage can register again. */
    static constexpr milliseconds expiryGracePeriod{2000};

    /**
     * Applies one record. Returns true when a server was added, removed or changed. A new sequence number or warm-up
     * time alone is no change, and neither is a removal that starts a grace period. In a service with a limit for cold
     * servers it is a change if a server turns cold, see setWarmupLimitedServices().
     */
    bool apply(const backend_record &record, time_point now);

    /**
     * Applies a complete listing up to offset @p end and removes servers that are not in it. Returns true on a change,
     * like apply().
     */
    bool replaceAll(const std::vector<backend_record> &listing, store_offset end, time_point now);

    /** Sets the services whose servers have a limit on their requests while they are cold. */
    void setWarmupLimitedServices(std::set<std::string> services);

    /**
     * Minimum time by which a report extends the end of a warm-up for the server to have turned cold again. The end is
     * counted from when a report is read, up to read_schedule::maxReadAge later than it was written.
     */
    static constexpr milliseconds minWarmupExtension{1500};

    /** Starts the grace period after a store outage. */
    void recordStoreAvailable(time_point now);

    /** Ends the grace periods that are over; the servers become unusable. Returns true when there was one. */
    bool endGracePeriods(time_point now);

    /**
     * Servers that may receive requests. Returns the same object until a server changes, because fleets have thousands
     * of them.
     */
    backends_by_service_ptr usable() const;

    /** Effective changes with offsets from @p fromOffset on, for peers. */
    std::vector<backend_record> changesSince(store_offset fromOffset) const;

    /** Offset of the last effective change, or none; an upper bound of it while hasOnlyInitialListing(). */
    std::optional<store_offset> lastChangeOffset() const;

    /**
     * True while no change has followed the initial listing. A listing has the newest record of each server, which may
     * be a report that changed nothing, so lastChangeOffset() differs between entries that read their listings at
     * different times.
     */
    bool hasOnlyInitialListing() const;

    /** True when no record up to and including @p offset is new; always true if @p offset is none. */
    bool isUpToDateWith(std::optional<store_offset> offset) const;

    /** Offset up to which all records have been applied. */
    store_offset endOffset() const;

    /** Raises endOffset() to @p end; a lower value is ignored. */
    void advanceTo(store_offset end);

private:
    struct known_backend
    {
        std::optional<backend_server> server;
        store_offset offset = 0;
        /** Offset of the last change, including the start of a grace period. */
        std::optional<store_offset> lastChangeOffset;
        /** Incarnation and sequence number of the newest report; only later ones are applied. */
        std::int64_t lastStartUnixMs = 0;
        std::uint64_t lastSequence = 0;
        bool removed = false;
        /** Set during the grace period of an expired registration. */
        std::optional<time_point> graceEndsAt;
    };

    bool applyReport(known_backend &known, const backend_server &report, time_point now);
    bool applyRemoval(known_backend &known, time_point now);
    /** True if @p next tells that the server @p known of a service with a limit has turned cold again. */
    bool turnsCold(const backend_server &known, const backend_server &next, time_point now) const;

    std::map<std::string, known_backend> m_backends;
    /** Cached result of usable(); null after a change. */
    mutable backends_by_service_ptr m_usable;
    store_offset m_endOffset = 0;
    /** Offset 0 is that of the first record of the topic, so it cannot stand for "no change". */
    std::optional<store_offset> m_lastChangeOffset;
    bool m_onlyInitialListing = false;
    std::optional<time_point> m_graceEndsAt;
    std::set<std::string> m_warmupLimitedServices;
};

}
