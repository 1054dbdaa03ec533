/**
 * @file
 * A backend server according to its latest report.
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
    /** Unique among the running backend servers; may be reused after a restart. */
    std::string id;
    std::string service;
    std::string zone;
    socket_address address;
    /** Requests that it processes concurrently. */
    std::uint32_t slots = 1;
    /** It is shutting down and accepts no new requests. */
    bool draining = false;
    /** Unix time of its start in milliseconds; orders the incarnations of an id. */
    std::int64_t startUnixMs = 0;
    /** Sequence number of its report, counted from its start. */
    std::uint64_t sequence = 0;
    /** End of its warm-up, during which it responds more slowly. */
    time_point warmupEndsAt;

    bool operator==(const backend_server &) const = default;
};

/** Backend servers by service and id. */
using backends_by_service = std::map<std::string, std::map<std::string, backend_server>>;
using backends_by_service_ptr = std::shared_ptr<const backends_by_service>;

}
