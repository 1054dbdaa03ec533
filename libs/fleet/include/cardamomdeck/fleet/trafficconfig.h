/**
 * @file
 * The configuration of traffic as one immutable value: rules, services and limits for callers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Whether a request may run more than once. */
enum class retry_policy {
    idempotent,
    at_most_once,
};

/** A service that takes a share of a rule's requests. */
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service &) const = default;
};

/** Sends the requests of one host and path prefix to one or more services. */
struct traffic_rule
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    retry_policy retryPolicy = retry_policy::at_most_once;
    /** Longest time from a request's arrival to its answer. */
    milliseconds timeout{0};
    /** Time within which an answer is worth most to the caller. */
    milliseconds latencyObjective{0};
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Backend servers that one request may be sent to. */
    std::uint32_t maxAttempts = 1;
    /** Never empty. */
    std::vector<weighted_service> services;

    bool operator==(const traffic_rule &) const = default;
};

/** What holds for all backend servers of a service. */
struct service_profile
{
    std::string healthPath;
    /** Connections that one backend server accepts from all entries together. */
    std::uint32_t maxConnections = 0;

    bool operator==(const service_profile &) const = default;
};

/** Limits on what a caller may send, in bytes, and on how long it may take. */
struct caller_limits
{
    std::uint32_t maxHeaderBytes = 16U * 1024U;
    std::uint64_t maxBodyBytes = 64ULL * 1024U * 1024U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15'000};

    bool operator==(const caller_limits &) const = default;
};

/** One version of the configuration. */
struct traffic_config
{
    /** Versions increase; 0 means that no configuration is known. */
    std::uint64_t version = 0;
    /** Longest prefix first. */
    std::vector<traffic_rule> rules;
    std::map<std::string, service_profile> services;
    caller_limits limits;

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
