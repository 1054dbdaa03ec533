#include "adminserver.h"

#include "evacuationreport.h"
#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace cardamomdeck {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view requestPrefix = "/v1/requests/";

std::string_view stateName(const backend_state &backend, const zone_set &evacuatedZones, time_point now)
{
    if (evacuatedZones.contains(backend.server.zone)) {
        return "evacuated";
    }
    if (backend.availability->leavingSince() || backend.availability->needsProbe()) {
        return "leaving";
    }
    if (backend.availability->pausedUntil(now)) {
        return "paused";
    }
    if (backend.avoidedUntil > now) {
        return "avoided";
    }
    if (backend.isCold(now)) {
        return "cold";
    }
    if (backend.health.isSuspect(now)) {
        return "suspect";
    }
    return backend.server.warmupEndsAt > now ? "warming_up" : "ready";
}

json backendJson(const backend_state &backend,
                 const std::string &service,
                 const zone_set &evacuatedZones,
                 time_point now)
{
    return {{"name", backend.server.id},
            {"service", service},
            {"zone", backend.server.zone},
            {"address", toString(backend.server.address)},
            {"state", stateName(backend, evacuatedZones, now)},
            {"failure_share", backend.health.failureRate(now)},
            {"in_flight", backend.inFlight},
            {"sent", backend.sentRequests}};
}

}

admin_server::admin_server(asio::io_context &context,
                           const data_plane &dataPlane,
                           const control_plane &controlPlane,
                           const quota_exchange &quotas)
    : m_dataPlane(dataPlane)
    , m_controlPlane(controlPlane)
    , m_quotas(quotas)
    , m_apiServer(
          context.get_executor(), [this](http_request &request, http_exchange &) { return handleRequest(request); }, {})
    , m_metricsServer(
          context.get_executor(), [this](http_request &request, http_exchange &) { return handleRequest(request); }, {})
{
}

result_code admin_server::listen(const socket_address &address)
{
    http_server &server = m_apiServerInUse ? m_metricsServer : m_apiServer;
    m_apiServerInUse = true;
    return server.listen(address);
}

asio::awaitable<http_response> admin_server::handleRequest(const http_request &request)
{
    const std::string target(request.target());
    if (target == "/metrics") {
        co_return makeResponse(200, metricsText(), "text/plain; version=0.0.4");
    }
    if (target == "/v1/fleet") {
        co_return makeResponse(200, fleetJson());
    }
    if (target == "/v1/quotas") {
        co_return makeResponse(200, quotaJson(m_quotas.status(), m_controlPlane.state().members().self().name).dump());
    }
    if (target.starts_with(requestPrefix)) {
        const std::string id = target.substr(requestPrefix.size());
        std::vector<std::string> logLines = m_dataPlane.history().find(id);
        std::ranges::copy(m_quotas.rejections().find(id), std::back_inserter(logLines));
        co_return makeResponse(logLines.empty() ? 404 : 200, json(logLines).dump());
    }
    co_return makeResponse(404, "{}");
}

std::string admin_server::metricsText() const
{
    const time_point now = steady::now();
    const fleet_state &state = m_controlPlane.state();
    const zone_set_ptr evacuatedZones = state.evacuations().evacuatedZones();
    std::string text;
    for (const auto &[name, service] : m_dataPlane.services()) {
        service->metrics.append(text, name);
        const withheld_backends withheld = withheldBackends(*service, *evacuatedZones, now);
        const std::string label = "service=\"" + name + "\"";
        appendMetric(text, "backends_leaving", label, static_cast<double>(withheld.leaving));
        appendMetric(text, "backends_paused", label, static_cast<double>(withheld.paused));
        appendColdMetrics(text, *service, name, now);
    }
    m_dataPlane.authorizer().appendMetrics(text);
    if (m_dataPlane.overflow() != nullptr) {
        m_dataPlane.overflow()->appendMetrics(text);
    }
    appendQuotaMetrics(text, m_quotas.status());
    appendMetric(text, "config_version", "", static_cast<double>(state.position().configVersion));
    appendMetric(text, "store_era", "", static_cast<double>(state.position().backendsEnd.era.value_or(0)));
    appendMetric(text, "view_age_ms", "", toMilliseconds(now - state.freshAt()));
    appendEvacuationMetrics(text, state.evacuations());
    appendMetric(text, "members_alive", "", static_cast<double>(state.members().alive(now).size()));
    appendMetric(text, "store_calls_total", "", static_cast<double>(m_controlPlane.storeCalls()));
    appendMetric(text, "requests_in_hand", "", static_cast<double>(m_dataPlane.requestsInFlight()));
    appendMetric(text, "caller_connections", "", static_cast<double>(m_dataPlane.callerConnections()));
    appendMetric(text, "idle_backend_connections", "", static_cast<double>(m_dataPlane.idleBackendConnections()));
    appendMetric(text, "body_bytes_in_use", "", static_cast<double>(m_dataPlane.bodyMemory().used()));
    appendMetric(text, "body_bytes_limit", "", static_cast<double>(m_dataPlane.bodyMemory().limit()));
    appendMetric(text, "log_lines_dropped_total", "", static_cast<double>(droppedLogLines()));
    return text;
}

std::string admin_server::fleetJson() const
{
    const time_point now = steady::now();
    const fleet_state &state = m_controlPlane.state();
    json members = json::array();
    for (const fleet_member &member : state.members().alive(now)) {
        members.push_back({{"name", member.name}, {"zone", member.zone}, {"ready", member.ready}});
    }
    const zone_set_ptr evacuatedZones = state.evacuations().evacuatedZones();
    json backends = json::array();
    for (const auto &[name, service] : m_dataPlane.services()) {
        for (const auto &[id, backend] : service->backends) {
            backends.push_back(backendJson(*backend, name, *evacuatedZones, now));
        }
    }
    const view_position position = state.position();
    const json body
        = {{"entry", state.members().self().name},
           {"config_version", position.configVersion},
           {"backends_changed_at", position.lastBackendChange ? json(position.lastBackendChange->offset) : json()},
           {"store_era", position.backendsEnd.era ? json(*position.backendsEnd.era) : json()},
           {"view_age_ms", toMilliseconds(now - state.freshAt())},
           {"store_available", m_controlPlane.isStoreAvailable()},
           {"zone_overflow", json::parse(overflowJson(m_dataPlane.overflowSettings(), m_dataPlane.services()))},
           {"evacuated_zones", evacuationsJson(state.evacuations())},
           {"members", members},
           {"backends", backends}};
    // Names from peers are not checked to be text.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
