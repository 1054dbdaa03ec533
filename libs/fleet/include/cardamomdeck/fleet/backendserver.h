/**
 * @file
 * One backend server as it described itself last.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/socketaddress.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cardamomdeck {

/** Offset of a record in a partition of the store. */
using store_offset = std::uint64_t;

/** A registered backend server. */
struct backend_server
{
    /** Unique among the backend servers that live now; may be used again after a restart. */
    std::string id;
    std::string service;
    std::string zone;
    socket_address address;
    /** Requests that it works on at once. */
    std::uint32_t slots = 1;
    /** It is shutting down and takes no new work. */
    bool draining = false;
    /** Unix time of its start in milliseconds; orders incarnations of one id. */
    std::int64_t startUnixMs = 0;
    /** Counts its reports since its start. */
    std::uint64_t sequence = 0;
    /** It works slowly until then. */
    time_point warmupEndsAt;

    bool operator==(const backend_server &) const = default;
};

/** Backend servers by service and id. */
using backends_by_service = std::map<std::string, std::map<std::string, backend_server>>;
using backends_by_service_ptr = std::shared_ptr<const backends_by_service>;

}
