#include "cardamomdeck/fleet/fleetstate.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Approximate size in a message of a gossiped member, and of an evacuation without the name of its zone. */
constexpr std::size_t gossipedMemberBytes = 60;
constexpr std::size_t evacuationBytes = 16;

/** Members in a heartbeat however many evacuations there are, so that large fleets still learn of each other. */
constexpr std::size_t minGossipedMembers = 4;

}

bool fleet_state::applyEvacuations(const store_read_result &readResult)
{
    const bool changed = readResult.completeConfigListing
                             ? m_evacuations.applyListing(readResult.evacuations, readResult.configEnd)
                             : m_evacuations.applyRead(readResult.evacuations);
    m_evacuationsUnannounced = m_evacuationsUnannounced || changed;
    return changed;
}

bool fleet_state::applyPeerEvacuations(const std::vector<evacuation_record> &records,
                                       const view_position &peerPosition,
                                       time_point now)
{
    m_evacuations.recordEra(peerPosition.configEnd.era, now);
    return m_evacuations.applyPeerTable(records, peerPosition.configEnd, m_configEnd);
}

std::size_t fleet_state::gossipLimit(std::size_t maxMembers) const
{
    std::size_t tableBytes = 0;
    for (const evacuation_record &record : m_evacuations.records()) {
        tableBytes += record.zone.size() + evacuationBytes;
    }
    const std::size_t displaced = (tableBytes + gossipedMemberBytes - 1) / gossipedMemberBytes;
    return maxMembers - std::min(displaced, maxMembers - minGossipedMembers);
}

std::optional<fleet_state::change_announcement> fleet_state::announceEvacuations(const view_position &announced,
                                                                                 time_point now)
{
    if (!m_evacuationsUnannounced) {
        return std::nullopt;
    }
    m_evacuationsUnannounced = false;
    // With the position and the age of the view, all receivers would request the deferred changes at once.
    change_announcement announcement{basicHeartbeat(now), std::nullopt};
    announcement.heartbeat.position = announced;
    announcement.heartbeat.viewAge.reset();
    return announcement;
}

void fleet_state::advanceConfigTo(const topic_position &end, time_point now)
{
    m_configEnd = std::max(m_configEnd, end);
    m_evacuations.recordEra(m_configEnd.era, now);
}

const evacuation_table &fleet_state::evacuations() const
{
    return m_evacuations;
}

}
