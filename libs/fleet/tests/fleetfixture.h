/**
 * @file
 * Shared helpers of the fleet view tests.
 */
#pragma once

#include "cardamomdeck/fleet/fleetstate.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace cardamomdeck {

inline const time_point startTime{seconds(1000)};

inline fleet_member makeMember(const std::string &name)
{
    return {name, "a", "10.0.0." + name.substr(1), 100, false};
}

inline config_source makeConfig(std::uint64_t version)
{
    config_source source;
    source.config.version = version;
    source.text = "v" + std::to_string(version);
    for (int rule = 0; rule < 50; ++rule) {
        source.text += " rule " + std::to_string(rule * 7919);
    }
    return source;
}

inline backend_record makeBackendRecord(const std::string &id, store_offset offset)
{
    backend_server server;
    server.id = id;
    server.service = "lots";
    server.address = {"10.0.1.1", 80};
    server.startUnixMs = 1;
    server.sequence = offset + 1;
    return {id, offset, server};
}

inline store_read_result makeStoreRead(time_point at, std::uint64_t version, std::vector<backend_record> backends)
{
    store_read_result readResult;
    readResult.startedAt = at;
    readResult.config = makeConfig(version);
    readResult.configEnd = version;
    readResult.backendsEnd = backends.empty() ? topic_position() : positionAfter(backends.back().position);
    readResult.backends = std::move(backends);
    return readResult;
}

inline store_read_result makeFailedStoreRead(time_point at)
{
    store_read_result readResult;
    readResult.startedAt = at;
    readResult.configRead = false;
    readResult.backendsRead = false;
    return readResult;
}

inline heartbeat_message makeHeartbeat(const std::string &name)
{
    heartbeat_message heartbeat;
    heartbeat.sender = makeMember(name);
    return heartbeat;
}

/** Sends @p heartbeat of @p from to @p to, and the view request and response that it causes. */
inline void deliverHeartbeat(fleet_state &from, const heartbeat_message &heartbeat, fleet_state &to, time_point now)
{
    const fleet_state::heartbeat_result result = to.applyHeartbeat(heartbeat, now);
    if (!result.shouldRequestView) {
        return;
    }
    const view_response response = from.makeViewResponse(to.makeViewRequest(), now);
    std::optional<config_source> newerConfig;
    if (response.config) {
        newerConfig = makeConfig(response.position.configVersion);
    }
    to.applyViewResponse(response, newerConfig, result.announcedFreshAt, now);
}

/** Sends a periodic heartbeat of @p from to @p to, and the view request and response that it causes. */
inline void exchangeHeartbeat(fleet_state &from, fleet_state &to, time_point now)
{
    deliverHeartbeat(from, from.basicHeartbeat(now), to, now);
}

}
