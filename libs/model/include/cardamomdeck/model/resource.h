/**
 * @file
 * The resources that operators manage: services, back ends and rules.
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

/** The kinds of resource, in the order in which they are listed. */
enum class resource_kind {
    service,
    backend,
    rule,
};

/** Plural path segment of @p kind in the resource API. */
std::string_view pathSegment(resource_kind kind);

/** The kind with path segment @p segment, or resource_invalid. */
boost::leaf::result<resource_kind> resourceKindFromPath(std::string_view segment);

/** A service and the limits and policies that hold for its requests. */
struct service_spec
{
    std::string name;
    /** Name of the strategy that chooses back ends; see strategyNames(). */
    std::string strategy = "load_aware";
    /** Longest time from a request's arrival to its answer. */
    milliseconds timeout{2000};
    /** Requests that one entry may hold at once; the rest are refused. */
    std::uint32_t maxInFlight = 512;
    /** Requests that a back end serves at once. */
    std::uint32_t slotsPerBackend = 2;
    /** Connections that one entry may hold to one back end. */
    std::uint32_t maxConnectionsPerBackend = 12;
    /** Probes that one back end accepts in ten seconds from all entries together. */
    std::uint32_t maxProbesPerTenSeconds = 64;
    /** Entries that may share the probe budget at once. */
    std::uint32_t maxProbingEntries = 16;
    /** Path of the load report that probes read. */
    std::string probePath = "/load";
    /** Age of the last information about a back end above which it is probed, within the budget. */
    milliseconds maxLoadDataAge{1000};
    /** Extra attempts allowed, in hundredths of the number of requests. */
    std::uint32_t retryPercent = 10;
    /** Hedged attempts allowed, in hundredths of the number of idempotent requests; 0 turns hedging off. */
    std::uint32_t hedgePercent = 5;
    /** Cost of sending a request to another zone, in microseconds of expected latency. */
    microseconds zonePenalty{3000};
    /** Largest request or answer body. */
    std::uint32_t maxBodyBytes = 1U << 20U;
    /** Age above which an idle connection must not carry a non-idempotent request. */
    milliseconds maxIdleTimeForNonIdempotent{1000};

    bool operator==(const service_spec &) const = default;
};

/** A back end of a service. */
struct backend_spec
{
    /** Unique among all back ends. */
    std::string name;
    std::string service;
    socket_address address;
    std::string zone;
    /** The operator wants the back end to receive no new work. */
    bool draining = false;

    bool operator==(const backend_spec &) const = default;
};

/** Sends requests with a path prefix to a service. */
struct rule_spec
{
    std::string name;
    std::string pathPrefix;
    std::string service;
    /** Methods that may run more than once without harm. */
    std::vector<std::string> idempotentMethods = {"GET", "HEAD", "OPTIONS"};

    bool operator==(const rule_spec &) const = default;
};

/**
 * Decodes and validates a resource body.
 * Errors: resource_invalid, with every fault found in its detail.
 */
boost::leaf::result<service_spec> serviceFromJson(const nlohmann::json &body);
/** @copydoc serviceFromJson */
boost::leaf::result<backend_spec> backendFromJson(const nlohmann::json &body);
/** @copydoc serviceFromJson */
boost::leaf::result<rule_spec> ruleFromJson(const nlohmann::json &body);

/** Encodes a resource with every field, defaults included. */
nlohmann::json toJson(const service_spec &service);
/** @copydoc toJson */
nlohmann::json toJson(const backend_spec &backend);
/** @copydoc toJson */
nlohmann::json toJson(const rule_spec &rule);

/** Validates @p body as a resource of @p kind called @p name; returns it with all defaults filled in. */
boost::leaf::result<nlohmann::json>
normalizeResource(resource_kind kind, const std::string &name, const nlohmann::json &body);

}
