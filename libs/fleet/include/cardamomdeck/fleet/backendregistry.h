/**
 * @file
 * Folds the store's records of backend servers into the set that may receive work.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/backendserver.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** One record about a backend server; without a server it says that the server is gone. */
struct backend_record
{
    std::string id;
    store_offset offset = 0;
    std::optional<backend_server> server;

    bool operator==(const backend_record &) const = default;
};

/**
 * The newest known record of each backend server. Records may arrive late,
 * twice and out of order, from the store and from peers.
 *
 * When the store has been away, registrations may have lapsed although the
 * servers live. Such a server stays in use for a short time, in which it can
 * register again.
 */
class backend_registry
{
public:
    /** Time in which a server whose registration lapsed during an outage can register again. */
    static constexpr milliseconds expiryGracePeriod{2000};

    /** Takes over one record; true when the set of usable servers, or what is known of one, changed. */
    bool apply(const backend_record &record, time_point now);

    /** Takes over a complete listing up to @p end; servers that it lacks are gone. */
    bool replaceAll(const std::vector<backend_record> &listing, store_offset end, time_point now);

    /** Notes that the store answers again after an outage. */
    void noteStoreAvailable(time_point now);

    /** Forgets servers whose time to register again is over; true when there was one. */
    bool endGracePeriods(time_point now);

    /** Servers that may receive work; the same object until one of them changes, as fleets have thousands. */
    backends_by_service_ptr usable() const;

    /** Records that changed something, with offsets from @p from on, for peers. */
    std::vector<backend_record> changesSince(store_offset from) const;

    /** Offset of the last record that changed something; after a first listing at most that, see isListed(). */
    store_offset lastChangeOffset() const;

    /**
     * True while no change has followed the first listing. A listing names the newest record of each server, which
     * may be a report that changed nothing, so that entries that listed at different times differ in changedAt().
     */
    bool hasOnlyInitialListing() const;

    /** True when no record up to offset @p offset, that one included, is new. */
    bool isUpToDateWith(store_offset offset) const;

    /** Offset up to which all records have been applied. */
    store_offset endOffset() const;

    /** Moves the end to @p end; it never moves back. */
    void advanceTo(store_offset end);

private:
    struct known_backend
    {
        std::optional<backend_server> server;
        store_offset offset = 0;
        /** Offset of the last record that changed more than the count of reports. */
        store_offset lastChangeOffset = 0;
        /** The newest report, which a late one must exceed. */
        std::int64_t lastStartUnixMs = 0;
        std::uint64_t lastSequence = 0;
        bool removed = false;
        /** Set while a lapsed server may still register again. */
        std::optional<time_point> graceEndsAt;
    };

    bool applyReport(known_backend &known, const backend_server &report);
    bool applyRemoval(known_backend &known, time_point now);

    std::map<std::string, known_backend> m_backends;
    /** Null when a server has changed since it was built. */
    mutable backends_by_service_ptr m_usable;
    store_offset m_endOffset = 0;
    store_offset m_lastChangeOffset = 0;
    bool m_onlyInitialListing = false;
    std::optional<time_point> m_graceEndsAt;
};

}
