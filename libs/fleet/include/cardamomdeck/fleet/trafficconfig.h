/**
 * @file
 * The traffic configuration as one immutable value: rules, services and limits for callers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Whether a request may be executed more than once. */
enum class retry_policy {
    idempotent,
    at_most_once,
};

/** A service that receives a share of a rule's requests. */
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service &) const = default;
};

/** Routes the requests of one host and path prefix to one or more services. */
struct traffic_rule
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    retry_policy retryPolicy = retry_policy::at_most_once;
    /** Maximum time from the arrival of a request to its response. */
    milliseconds timeout{0};
    /** Latency objective (SLO): a response within this time has its full value for the caller. */
    milliseconds latencyObjective{0};
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Maximum number of backend servers that one request is sent to. */
    std::uint32_t maxAttempts = 1;
    /** Never empty. */
    std::vector<weighted_service> services;
    /** Requests need no key, even if the configuration has workspaces. */
    bool anonymous = false;
    /** Regions whose backend servers may run the requests; empty for all. */
    std::set<std::string> allowedRegions;

    bool operator==(const traffic_rule &) const = default;
};

/** Settings for all backend servers of a service. */
struct service_profile
{
    std::string healthPath;
    /** Number of connections that one backend server accepts from all entries together. */
    std::uint32_t maxConnections = 0;
    /** Time after its start for which a server is cold. */
    milliseconds warmupTime{0};
    /** Requests per second that a cold server tolerates from all entries together; 0 for no limit. */
    double warmupRequestsPerSecond = 0;

    bool operator==(const service_profile &) const = default;
};

/** Limits on the size of requests, in bytes, and on the time that callers may take to send them. */
struct caller_limits
{
    std::uint32_t maxHeaderBytes = 16U * 1024U;
    std::uint64_t maxBodyBytes = 64ULL * 1024U * 1024U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15'000};

    bool operator==(const caller_limits &) const = default;
};

/** A customer of the operator, whose callers identify themselves by a key. */
struct workspace
{
    std::string name;
    /** Secrets: they must not appear in logs, metrics, errors or messages other than the configuration itself. */
    std::vector<std::string> keys;
    /** Goes before the priority of the rule. */
    std::optional<std::uint32_t> priority;
    /** Quota in requests per second over all entries; 0 for no limit. */
    double requestsPerSecond = 0;
    /** Number of requests beyond the rate that may come at once. */
    double burst = 0;
    /** Regions whose backend servers may run the requests; empty for all. */
    std::set<std::string> allowedRegions;

    bool operator==(const workspace &) const = default;
};

/** One version of the configuration. */
struct traffic_config
{
    /** Versions increase; 0 means that no configuration is installed. */
    std::uint64_t version = 0;
    /** Longest prefix first. */
    std::vector<traffic_rule> rules;
    std::map<std::string, service_profile> services;
    caller_limits limits;
    /** By name. */
    std::map<std::string, workspace> workspaces;
    /** Requests need the key of a workspace; set if the configuration has a table of workspaces, even an empty one. */
    bool requiresKeys = false;

    bool operator==(const traffic_config &) const = default;
};

/** A configuration and its text as the operator wrote it. */
struct config_source
{
    traffic_config config;
    std::string text;
};

using traffic_config_ptr = std::shared_ptr<const traffic_config>;

}
