#include "cardamomdeck/model/resource.h"

#include "private/fieldreader.h"

#include <nlohmann/json.hpp>

#include <array>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::array<std::string_view, 3> kindSegments = {"services", "backends", "rules"};

constexpr std::array<std::string_view, 5> strategyNameList
    = {"load_aware", "least_in_flight", "least_reported", "round_robin", "random"};

constexpr std::int64_t maxTimeoutMs = maxServiceTimeout.count();
constexpr std::int64_t maxCount = 1'000'000;
constexpr std::int64_t maxAllowedBodyBytes = 64 * 1024 * 1024;
constexpr std::int64_t maxPercent = 100;
constexpr std::int64_t maxZonePenaltyUs = 1'000'000;

}

std::string_view pathSegment(resource_kind kind)
{
    return kindSegments[static_cast<std::size_t>(kind)];
}

leaf::result<resource_kind> resourceKindFromPath(std::string_view segment)
{
    for (std::size_t i = 0; i < kindSegments.size(); ++i) {
        if (kindSegments[i] == segment) {
            return static_cast<resource_kind>(i);
        }
    }
    return leaf::new_error(failure{result_code::resource_invalid, "unknown resource kind: " + std::string(segment)});
}

leaf::result<service_spec> serviceFromJson(const nlohmann::json &body)
{
    service_spec service;
    field_reader reader(body);
    reader.readName("name", service.name);
    reader.readChoice("strategy", service.strategy, strategyNameList);
    reader.readDuration("timeout_ms", service.timeout, 1, maxTimeoutMs);
    reader.readCount("max_in_flight", service.maxInFlight, 1, maxCount);
    reader.readCount("slots_per_backend", service.slotsPerBackend, 1, maxCount);
    reader.readCount("connections_per_backend", service.maxConnectionsPerBackend, 1, maxCount);
    reader.readCount("probes_per_ten_seconds", service.maxProbesPerTenSeconds, 0, maxCount);
    reader.readCount("entry_ceiling", service.maxProbingEntries, 1, maxCount);
    reader.readOptionalPath("probe_path", service.probePath);
    reader.readDuration("probe_age_ms", service.maxLoadDataAge, 0, maxTimeoutMs);
    reader.readCount("retry_percent", service.retryPercent, 0, maxPercent);
    reader.readCount("hedge_percent", service.hedgePercent, 0, maxPercent);
    reader.readDuration("zone_penalty_us", service.zonePenalty, 0, maxZonePenaltyUs);
    reader.readCount("max_body_bytes", service.maxBodyBytes, 0, maxAllowedBodyBytes);
    reader.readDuration("proof_of_life_ms", service.maxIdleTimeForNonIdempotent, 0, maxTimeoutMs);
    BOOST_LEAF_CHECK(reader.finish());
    return service;
}

leaf::result<backend_spec> backendFromJson(const nlohmann::json &body)
{
    backend_spec backend;
    field_reader reader(body);
    reader.readName("name", backend.name);
    reader.readName("service", backend.service);
    reader.readAddress("address", backend.address);
    reader.readName("zone", backend.zone);
    reader.readFlag("draining", backend.draining);
    BOOST_LEAF_CHECK(reader.finish());
    return backend;
}

leaf::result<rule_spec> ruleFromJson(const nlohmann::json &body)
{
    rule_spec rule;
    field_reader reader(body);
    reader.readName("name", rule.name);
    reader.readPath("path_prefix", rule.pathPrefix);
    reader.readName("service", rule.service);
    reader.readMethods("idempotent_methods", rule.idempotentMethods);
    BOOST_LEAF_CHECK(reader.finish());
    return rule;
}

nlohmann::json toJson(const service_spec &service)
{
    return {{"name", service.name},
            {"strategy", service.strategy},
            {"timeout_ms", service.timeout.count()},
            {"max_in_flight", service.maxInFlight},
            {"slots_per_backend", service.slotsPerBackend},
            {"connections_per_backend", service.maxConnectionsPerBackend},
            {"probes_per_ten_seconds", service.maxProbesPerTenSeconds},
            {"entry_ceiling", service.maxProbingEntries},
            {"probe_path", service.probePath},
            {"probe_age_ms", service.maxLoadDataAge.count()},
            {"retry_percent", service.retryPercent},
            {"hedge_percent", service.hedgePercent},
            {"zone_penalty_us", service.zonePenalty.count()},
            {"max_body_bytes", service.maxBodyBytes},
            {"proof_of_life_ms", service.maxIdleTimeForNonIdempotent.count()}};
}

nlohmann::json toJson(const backend_spec &backend)
{
    return {{"name", backend.name},
            {"service", backend.service},
            {"address", toString(backend.address)},
            {"zone", backend.zone},
            {"draining", backend.draining}};
}

nlohmann::json toJson(const rule_spec &rule)
{
    return {{"name", rule.name},
            {"path_prefix", rule.pathPrefix},
            {"service", rule.service},
            {"idempotent_methods", rule.idempotentMethods}};
}

leaf::result<nlohmann::json> normalizeResource(resource_kind kind, const std::string &name, const nlohmann::json &body)
{
    if (!body.is_object()) {
        return leaf::new_error(failure{result_code::resource_invalid, "body is not a JSON object"});
    }
    nlohmann::json namedBody = body;
    if (namedBody.contains("name") && namedBody["name"] != name) {
        return leaf::new_error(failure{result_code::resource_invalid, "name differs from the path"});
    }
    namedBody["name"] = name;
    switch (kind) {
    case resource_kind::service: {
        BOOST_LEAF_AUTO(service, serviceFromJson(namedBody));
        return toJson(service);
    }
    case resource_kind::backend: {
        BOOST_LEAF_AUTO(backend, backendFromJson(namedBody));
        return toJson(backend);
    }
    case resource_kind::rule: {
        BOOST_LEAF_AUTO(rule, ruleFromJson(namedBody));
        return toJson(rule);
    }
    }
    return leaf::new_error(failure{result_code::resource_invalid, "unknown resource kind"});
}

}
