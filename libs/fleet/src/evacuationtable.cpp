#include "cardamomdeck/fleet/evacuationtable.h"

#include <algorithm>
#include <tuple>

namespace cardamomdeck {

bool isZoneName(std::string_view name)
{
    const bool hasControl = std::ranges::any_of(name, [](unsigned char c) { return c < ' ' || c == 0x7f; });
    return !name.empty() && name.size() <= maxZoneNameBytes && !hasControl;
}

bool evacuation_table::merge(const evacuation_record &record)
{
    const auto [found, inserted] = m_zones.try_emplace(record.zone);
    known_zone &known = found->second;
    // If two records claim one position, the evacuation holds, so that all entries decide alike and on the safe side.
    const bool isNewer = std::tie(record.position, record.evacuated) > std::tie(known.position, known.evacuated);
    if (!inserted && !isNewer) {
        return false;
    }
    const bool mayBeLost = known.evacuated && known.position.era && known.position.era < record.position.era;
    known = {record.position, record.evacuated, !record.evacuated && (mayBeLost || known.inGracePeriod)};
    if (inserted) {
        m_nameBytes += record.zone.size();
        dropExcess();
    }
    return true;
}

void evacuation_table::dropExcess()
{
    const auto isDroppedBefore = [](const zone_map::value_type &a, const zone_map::value_type &b) {
        if (a.second.evacuated != b.second.evacuated) {
            return b.second.evacuated;
        }
        if (a.second.position != b.second.position) {
            return (a.second.position < b.second.position) != a.second.evacuated;
        }
        return a.first < b.first;
    };
    while (m_zones.size() > maxZones || m_nameBytes > maxTotalNameBytes) {
        const auto dropped = std::ranges::min_element(m_zones, isDroppedBefore);
        m_nameBytes -= dropped->first.size();
        m_zones.erase(dropped);
    }
}

bool evacuation_table::updateEvacuatedZones()
{
    zone_set zones;
    for (const auto &[zone, known] : m_zones) {
        if (known.evacuated || known.inGracePeriod) {
            zones.insert(zone);
        }
    }
    if (zones == *m_evacuated) {
        return false;
    }
    m_evacuated = std::make_shared<const zone_set>(std::move(zones));
    return true;
}

bool evacuation_table::apply(const evacuation_record &record)
{
    return applyRead({record});
}

bool evacuation_table::applyRead(const std::vector<evacuation_record> &records)
{
    for (const evacuation_record &record : records) {
        const auto found = merge(record) ? m_zones.find(record.zone) : m_zones.end();
        if (found != m_zones.end()) {
            // The operator has written the record in this era.
            found->second.inGracePeriod = false;
        }
    }
    return updateEvacuatedZones();
}

bool evacuation_table::applyListing(const std::vector<evacuation_record> &listing, topic_position end)
{
    std::set<std::string_view> listed;
    for (const evacuation_record &record : listing) {
        listed.insert(record.zone);
        merge(record);
    }
    for (auto &[zone, known] : m_zones) {
        if (known.position < end && !listed.contains(zone)) {
            // The removal is one of the records before the end; the record at the end is still to be read. Also if this
            // entry knows the zone as returned, as others may have seen an evacuation since.
            merge({zone, lastBefore(end), false});
        }
    }
    if (m_listingNeededUpTo && end >= *m_listingNeededUpTo) {
        m_listingNeededUpTo.reset();
    }
    return updateEvacuatedZones();
}

bool evacuation_table::applyPeerTable(const std::vector<evacuation_record> &records,
                                      topic_position peerEnd,
                                      topic_position ownEnd)
{
    std::set<std::string_view> known;
    for (const evacuation_record &record : records) {
        known.insert(record.zone);
        const bool isMissed = merge(record) && record.evacuated && record.position < ownEnd;
        if (isMissed) {
            requireListing(ownEnd);
        }
    }
    if (peerEnd > ownEnd) {
        for (const std::string &zone : *m_evacuated) {
            if (m_zones.contains(zone) && m_zones.at(zone).position < peerEnd && !known.contains(zone)) {
                requireListing(peerEnd);
            }
        }
    }
    return updateEvacuatedZones();
}

void evacuation_table::recordEra(const store_era &era, time_point now)
{
    if (m_era < era) {
        m_era = era;
        m_graceEndsAt = now + lostRecordGracePeriod;
    }
}

bool evacuation_table::endGracePeriod(time_point freshAt)
{
    if (freshAt < m_graceEndsAt) {
        return false;
    }
    for (auto &[zone, known] : m_zones) {
        if (known.evacuated && known.position.era < m_era) {
            // All entries choose the start of the era, which no record written again in it can precede.
            known.position = {m_era, 0};
            known.evacuated = false;
        }
        known.inGracePeriod = false;
    }
    return updateEvacuatedZones();
}

void evacuation_table::requireListing(topic_position end)
{
    m_listingNeededUpTo = std::max(m_listingNeededUpTo.value_or(end), end);
}

bool evacuation_table::needsListing() const
{
    return m_listingNeededUpTo.has_value();
}

bool evacuation_table::isContradicted() const
{
    return m_listingNeededUpTo > topic_position();
}

std::optional<evacuation_record> evacuation_table::find(const std::string &zone) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end()) {
        return std::nullopt;
    }
    return evacuation_record{zone, found->second.position, found->second.evacuated};
}

std::vector<evacuation_record> evacuation_table::records() const
{
    std::vector<evacuation_record> all;
    for (const auto &[zone, known] : m_zones) {
        all.push_back({zone, known.position, known.evacuated});
    }
    return all;
}

const zone_set_ptr &evacuation_table::evacuatedZones() const
{
    return m_evacuated;
}

}
