/**
 * @file
 * What the tests of the view of the fleet share.
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
    store_read_result value;
    value.startedAt = at;
    value.config = makeConfig(version);
    value.configEndOffset = version;
    value.backendsEndOffset = backends.empty() ? 0 : backends.back().offset + 1;
    value.backends = std::move(backends);
    return value;
}

inline store_read_result makeFailedStoreRead(time_point at)
{
    store_read_result value;
    value.startedAt = at;
    value.configRead = false;
    value.backendsRead = false;
    return value;
}

inline heartbeat_message makeHeartbeat(const std::string &name)
{
    heartbeat_message notice;
    notice.sender = makeMember(name);
    return notice;
}

/** Lets @p to hear of @p from, and ask it if it knows more. */
inline void exchangeHeartbeat(fleet_state &from, fleet_state &to, time_point now)
{
    const heartbeat_message notice = from.basicHeartbeat(now);
    if (!to.applyHeartbeat(notice, now).shouldRequestView) {
        return;
    }
    const view_response answer = from.makeViewResponse(to.makeViewRequest(), now);
    std::optional<config_source> newer;
    if (answer.config) {
        newer = makeConfig(answer.position.configVersion);
    }
    to.applyViewResponse(answer, newer, notice.viewAge, now, now);
}

}
