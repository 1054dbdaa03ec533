/**
 * @file
 * Resources that operators manage: services, backend servers and routing rules.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomdeck {

/** Resource kinds, in listing order. */
enum class resource_kind {
    service,
    backend,
    rule,
};

/** Returns the path segment of @p kind in the resource API, a plural. */
std::string_view pathSegment(resource_kind kind);

/**
 * Returns the kind with the path segment @p segment.
 * Errors: resource_invalid.
 */
boost::leaf::result<resource_kind> resourceKindFromPath(std::string_view segment);

/** Upper limit of service_spec::timeout. */
inline constexpr milliseconds maxServiceTimeout{600'000};

/** A service with the limits and policies for its requests. */
struct service_spec
{
    std::string name;
    /** Name of the load balancing strategy; see strategyNames(). */
    std::string strategy = "load_aware";
    /** Maximum time from the arrival of a request to its response. */
    milliseconds timeout{2000};
    /** Maximum number of requests in flight at one entry; further requests are rejected. */
    std::uint32_t maxInFlight = 512;
    /** Number of requests that a backend server processes concurrently. */
    std::uint32_t slotsPerBackend = 2;
    /** Maximum number of connections from one entry to one backend server. */
    std::uint32_t maxConnectionsPerBackend = 12;
    /** Number of probes that one backend server accepts within ten seconds from all entries together. */
    std::uint32_t maxProbesPerTenSeconds = 64;
    /** Maximum number of entries that share the probe budget at the same time. */
    std::uint32_t maxProbingEntries = 16;
    /** Path from which probes request the load report. */
    std::string probePath = "/load";
    /** Age of the load data of a backend server above which it is probed, within the probe budget. */
    milliseconds maxLoadDataAge{1000};
    /** Maximum number of extra attempts, as a percentage of the number of requests. */
    std::uint32_t retryPercent = 10;
    /** Maximum number of hedged attempts, as a percentage of the idempotent requests; 0 disables hedging. */
    std::uint32_t hedgePercent = 5;
    /** Cost of sending a request to another availability zone, in microseconds of expected latency. */
    microseconds zonePenalty{3000};
    /** Maximum size of a request or response body, in bytes. */
    std::uint32_t maxBodyBytes = 1U << 20U;
    /** Maximum idle time of a connection that may carry a non-idempotent request. */
    milliseconds maxIdleTimeForNonIdempotent{1000};

    bool operator==(const service_spec &) const = default;
};

/** A backend server of a service. */
struct backend_spec
{
    /** Unique among all backend servers. */
    std::string name;
    std::string service;
    socket_address address;
    std::string zone;
    /** True if the operator drains the server, so that it receives no new requests. */
    bool draining = false;

    bool operator==(const backend_spec &) const = default;
};

/** A routing rule, which forwards requests with a path prefix to a service. */
struct rule_spec
{
    std::string name;
    std::string pathPrefix;
    std::string service;
    /** HTTP methods that are treated as idempotent: their requests may be executed more than once. */
    std::vector<std::string> idempotentMethods = {"GET", "HEAD", "OPTIONS"};

    bool operator==(const rule_spec &) const = default;
};

/**
 * Decodes and validates a resource body.
 * Errors: resource_invalid, with all validation errors in its detail.
 */
boost::leaf::result<service_spec> serviceFromJson(const nlohmann::json &body);
/** @copydoc serviceFromJson */
boost::leaf::result<backend_spec> backendFromJson(const nlohmann::json &body);
/** @copydoc serviceFromJson */
boost::leaf::result<rule_spec> ruleFromJson(const nlohmann::json &body);

/** Encodes a resource with all fields, including those that have default values. */
nlohmann::json toJson(const service_spec &service);
/** @copydoc toJson */
nlohmann::json toJson(const backend_spec &backend);
/** @copydoc toJson */
nlohmann::json toJson(const rule_spec &rule);

/**
 * Validates @p body as a resource of kind @p kind with the name @p name and
 * returns it with all defaults filled in.
 * Errors: resource_invalid.
 */
boost::leaf::result<nlohmann::json>
normalizeResource(resource_kind kind, const std::string &name, const nlohmann::json &body);

}
