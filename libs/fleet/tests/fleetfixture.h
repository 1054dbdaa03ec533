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

inline const time_point start{seconds(1000)};

inline fleet_member member(const std::string &name)
{
    return {name, "a", "10.0.0." + name.substr(1), 100, false};
}

inline config_source config(std::uint64_t version)
{
    config_source source;
    source.config.version = version;
    source.text = "v" + std::to_string(version);
    for (int rule = 0; rule < 50; ++rule) {
        source.text += " rule " + std::to_string(rule * 7919);
    }
    return source;
}

inline backend_record backend(const std::string &id, store_offset offset)
{
    backend_server server;
    server.id = id;
    server.service = "lots";
    server.address = {"10.0.1.1", 80};
    server.bornMs = 1;
    server.sequence = offset + 1;
    return {id, offset, server};
}

inline store_reading reading(time_point at, std::uint64_t version, std::vector<backend_record> backends)
{
    store_reading value;
    value.startedAt = at;
    value.config = config(version);
    value.configEnd = version;
    value.backendsEnd = backends.empty() ? 0 : backends.back().offset + 1;
    value.backends = std::move(backends);
    return value;
}

inline store_reading failedReading(time_point at)
{
    store_reading value;
    value.startedAt = at;
    value.configRead = false;
    value.backendsRead = false;
    return value;
}

inline peer_notice heartbeatOf(const std::string &name)
{
    peer_notice notice;
    notice.sender = member(name);
    return notice;
}

/** Lets @p to hear of @p from, and ask it if it knows more. */
inline void exchange(fleet_state &from, fleet_state &to, time_point now)
{
    const peer_notice notice = from.notice(now);
    if (!to.hear(notice, now).ask) {
        return;
    }
    const view_answer answer = from.answer(to.question(), now);
    std::optional<config_source> newer;
    if (answer.config) {
        newer = config(answer.position.configVersion);
    }
    to.applyAnswer(answer, newer, notice.age, now, now);
}

}
