#include "cardamomdeck/replay/trace.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace cardamomdeck {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

json encodeDeployment(const trace_deployment &deployment)
{
    return {{"name", deployment.name},
            {"entries", deployment.entries},
            {"backends", deployment.backends},
            {"slots", deployment.slots},
            {"zones", deployment.zones},
            {"cross_zone_us", deployment.crossZoneDelay.count()},
            {"same_zone_us", deployment.sameZoneDelay.count()},
            {"connect_us", deployment.connectTime.count()},
            {"report_delay_us", deployment.reportDelay.count()},
            {"queue", deployment.maxQueueLength}};
}

trace_deployment decodeDeployment(const json &line)
{
    trace_deployment deployment;
    deployment.name = line.at("name").get<std::string>();
    deployment.entries = line.at("entries").get<std::uint32_t>();
    deployment.backends = line.at("backends").get<std::uint32_t>();
    deployment.slots = line.at("slots").get<std::uint32_t>();
    deployment.zones = line.at("zones").get<std::uint32_t>();
    deployment.crossZoneDelay = microseconds(line.at("cross_zone_us").get<std::int64_t>());
    deployment.sameZoneDelay = microseconds(line.at("same_zone_us").get<std::int64_t>());
    deployment.connectTime = microseconds(line.at("connect_us").get<std::int64_t>());
    deployment.reportDelay = microseconds(line.at("report_delay_us").get<std::int64_t>());
    deployment.maxQueueLength = line.at("queue").get<std::uint32_t>();
    const bool valid
        = deployment.entries > 0 && deployment.backends > 0 && deployment.slots > 0 && deployment.zones > 0;
    if (!valid) {
        throw json::other_error::create(
            501, "the deployment needs at least one entry, backend server, slot and zone", nullptr);
    }
    return deployment;
}

void decodeEvent(const json &line, recorded_trace &trace)
{
    const microseconds at(line.at(1).get<std::int64_t>());
    const auto index = line.at(2).get<std::uint32_t>();
    if (line.at(0) == "r") {
        if (index >= trace.deployment.entries) {
            throw json::other_error::create(501, "entry index is out of range", nullptr);
        }
        trace.requests.push_back({at, index, microseconds(line.at(3).get<std::int64_t>()), line.at(4).get<bool>()});
        return;
    }
    const auto mode = line.at(4).get<std::uint32_t>();
    if (line.at(0) != "b" || index >= trace.deployment.backends || mode > 2) {
        throw json::other_error::create(501, "invalid event", nullptr);
    }
    trace.changes.push_back({at, index, line.at(3).get<double>(), static_cast<backend_mode>(mode)});
}

}

std::string encodeTrace(const recorded_trace &trace)
{
    std::string text = encodeDeployment(trace.deployment).dump() + "\n";
    for (const trace_backend_change &change : trace.changes) {
        const auto mode = static_cast<unsigned>(change.mode);
        text += json::array({"b", change.at.count(), change.backend, change.slowdownFactor, mode}).dump() + "\n";
    }
    for (const trace_request &request : trace.requests) {
        text += json::array({"r", request.at.count(), request.entry, request.serviceTime.count(), request.idempotent})
                    .dump()
                + "\n";
    }
    return text;
}

leaf::result<recorded_trace> decodeTrace(const std::string &text)
{
    recorded_trace trace;
    std::istringstream lines(text);
    std::string line;
    std::size_t number = 0;
    try {
        while (std::getline(lines, line)) {
            ++number;
            const json value = json::parse(line);
            if (number == 1) {
                trace.deployment = decodeDeployment(value);
            } else {
                decodeEvent(value, trace);
            }
        }
    } catch (const json::exception &error) {
        const std::string detail = "line " + std::to_string(number) + ": " + error.what();
        return leaf::new_error(failure{result_code::record_corrupt, detail});
    }
    if (number == 0) {
        return leaf::new_error(failure{result_code::record_corrupt, "the trace is empty"});
    }
    return trace;
}

}
