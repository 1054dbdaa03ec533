/**
 * @file
 * Merges the records of evacuated availability zones.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/fleet/topicposition.h"

#include <compare>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Maximum length of the name of a zone, in bytes. */
inline constexpr std::size_t maxZoneNameBytes = 255;

/** True for a name of 1 to maxZoneNameBytes bytes without control characters, as the records of servers have it. */
bool isZoneName(std::string_view name);

/** One record about an availability zone. */
struct evacuation_record
{
    std::string zone;
    topic_position position;
    /** False if the record ends the evacuation. */
    bool evacuated = false;

    auto operator<=>(const evacuation_record &) const = default;
};

using zone_set = std::set<std::string>;
using zone_set_ptr = std::shared_ptr<const zone_set>;

/**
 * The newest known record of each availability zone. The newest position wins, so records from the store and from peers
 * may arrive late, more than once and out of order. Ended evacuations are kept, because a late record could otherwise
 * start them again.
 *
 * A store that is restored from an older copy may have lost the record of an evacuation in force. The zone stays
 * evacuated for lostRecordGracePeriod, in which the operator can write the record again.
 */
class evacuation_table
{
public:
    /** Maximum number of zones; the whole table is part of each heartbeat, which is one datagram. */
    static constexpr std::size_t maxZones = 64;
    /** Time in which the record of an evacuation can be written again after the store has lost it. */
    static constexpr milliseconds lostRecordGracePeriod{5000};
    /** Maximum length of all names together, in bytes, for the same reason. */
    static constexpr std::size_t maxTotalNameBytes = 1024;

    /**
     * Applies one record; returns true when evacuatedZones() changed. Beyond the limits the oldest ended evacuations
     * are dropped first, and then the newest ones in force, so that all entries drop the same ones.
     */
    bool apply(const evacuation_record &record);

    /** Applies the records of a store read; returns true when evacuatedZones() changed. */
    bool applyRead(const std::vector<evacuation_record> &records);

    /**
     * Applies a complete listing of the topic up to @p end: evacuations before it that are not listed have ended.
     * Returns true when evacuatedZones() changed.
     */
    bool applyListing(const std::vector<evacuation_record> &listing, topic_position end);

    /**
     * Applies the table of a peer that has followed the topic up to @p peerEnd; this entry has followed it up to
     * @p ownEnd. Returns true when evacuatedZones() changed.
     */
    bool applyPeerTable(const std::vector<evacuation_record> &records, topic_position peerEnd, topic_position ownEnd);

    /** Starts the grace period of evacuations from before @p era, unless that is known. */
    void recordEra(const store_era &era, time_point now);

    /**
     * Ends the evacuations from before the last era, if their grace period is over and the view was complete at
     * @p freshAt, after it. Returns true when evacuatedZones() changed.
     */
    bool endGracePeriod(time_point freshAt);

    /**
     * True if the next read must be a complete listing: the topic has not been listed yet, or a peer's table
     * contradicts this one although both should contain the same records. Entries of earlier versions, which know no
     * evacuations, move the position of their peers past records about them; and an entry that was cut off may hold an
     * evacuation that ended before its peers started.
     */
    bool needsListing() const;

    /** True if needsListing() because of the table of a peer; only a read of this entry can resolve that. */
    bool isContradicted() const;

    /** The record about @p zone, if one is known. */
    std::optional<evacuation_record> find(const std::string &zone) const;

    /** All records, ordered by zone. */
    std::vector<evacuation_record> records() const;

    /** Zones that are evacuated; never null. Returns the same object until the zones change. */
    const zone_set_ptr &evacuatedZones() const;

private:
    struct known_zone
    {
        topic_position position;
        bool evacuated = false;
        /** Evacuated in an earlier era; the grace period has not ended. */
        bool inGracePeriod = false;
    };
    using zone_map = std::map<std::string, known_zone>;

    /** Applies @p record without an update of m_evacuated; returns true if it is newer than the known one. */
    bool merge(const evacuation_record &record);
    void dropExcess();
    void requireListing(topic_position end);
    bool updateEvacuatedZones();

    zone_map m_zones;
    std::size_t m_nameBytes = 0;
    zone_set_ptr m_evacuated = std::make_shared<const zone_set>();
    /** Last known era, and end of the grace period that it began. */
    store_era m_era;
    time_point m_graceEndsAt;
    /** A listing that ends here or later is necessary; none if the table is confirmed. */
    std::optional<topic_position> m_listingNeededUpTo = topic_position();
};

}
