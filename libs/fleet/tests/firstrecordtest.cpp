#include "fleetfixture.h"

using namespace cardamomdeck;

// The record at offset 0 was taken for "no change yet": peers that knew the empty topic never learned the first server.

TestSuite(first_record_of_the_topic);

namespace {

/** State of an entry that has read a configuration and an empty topic of servers. */
fleet_state makeStateWithoutServers(const std::string &name)
{
    fleet_state entry(makeMember(name));
    entry.applyStoreRead(makeStoreRead(startTime, 3, {}), startTime);
    return entry;
}

void readFirstServer(fleet_state &reader, time_point at)
{
    reader.applyStoreRead(makeStoreRead(at, 3, {makeBackendRecord("s0", 0)}), at);
}

std::size_t countServers(const fleet_state &entry, time_point now)
{
    const auto backends = entry.view(now)->backends;
    return backends->contains("lots") ? backends->at("lots").size() : 0;
}

}

Test(first_record_of_the_topic, reader_announces_it)
{
    fleet_state reader = makeStateWithoutServers("e1");
    fleet_state peer = makeStateWithoutServers("e2");
    const view_position before = reader.position();
    const time_point readAt = startTime + milliseconds(700);
    readFirstServer(reader, readAt);
    const heartbeat_message heartbeat = reader.heartbeatWithChanges(before, readAt);
    cr_assert(heartbeat.changes.has_value());
    cr_assert(peer.applyHeartbeat(heartbeat, readAt).viewChanged);
    cr_assert_eq(countServers(peer, readAt), 1);
}

Test(first_record_of_the_topic, peer_that_missed_the_announcement_requests_it)
{
    fleet_state reader = makeStateWithoutServers("e1");
    fleet_state peer = makeStateWithoutServers("e2");
    const time_point readAt = startTime + milliseconds(700);
    readFirstServer(reader, readAt);
    cr_assert_not(peer.isUpToDateWith(reader.position()));
    exchangeHeartbeat(reader, peer, readAt);
    cr_assert_eq(countServers(peer, readAt), 1);
    cr_assert(peer.position() == reader.position());
}

Test(first_record_of_the_topic, announcement_survives_the_encoding)
{
    fleet_state reader = makeStateWithoutServers("e1");
    fleet_state peer = makeStateWithoutServers("e2");
    const view_position before = reader.position();
    const time_point readAt = startTime + milliseconds(700);
    readFirstServer(reader, readAt);
    const std::string message = encode(reader.heartbeatWithChanges(before, readAt), readAt);
    const auto decoded = decodeHeartbeat(message, readAt);
    cr_assert(decoded.has_value());
    peer.applyHeartbeat(*decoded, readAt);
    cr_assert_eq(countServers(peer, readAt), 1);
}

Test(first_record_of_the_topic, entries_without_servers_agree)
{
    fleet_state reader = makeStateWithoutServers("e1");
    fleet_state peer = makeStateWithoutServers("e2");
    const std::string message = encode(reader.basicHeartbeat(startTime), startTime);
    const auto decoded = decodeHeartbeat(message, startTime);
    cr_assert(decoded.has_value());
    cr_assert(decoded->position == reader.position());
    cr_assert(peer.isUpToDateWith(decoded->position));
}
