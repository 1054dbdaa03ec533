#include "operatorpage.h"

#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"

#include <nlohmann/json.hpp>

namespace cardamomdeck {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view requestPrefix = "/v1/requests/";

std::string_view stateOf(const backend_traffic &backend, time_point now)
{
    if (backend.avoidedUntil > now) {
        return "avoided";
    }
    if (backend.health.isSuspect(now)) {
        return "suspect";
    }
    return backend.server.warmUntil > now ? "warming_up" : "ready";
}

json describe(const backend_traffic &backend, const std::string &service, time_point now)
{
    return {{"name", backend.server.id},
            {"service", service},
            {"zone", backend.server.zone},
            {"address", toString(backend.server.address)},
            {"state", stateOf(backend, now)},
            {"failure_share", backend.health.failureShare(now)},
            {"in_flight", backend.inFlight},
            {"sent", backend.sent}};
}

}

operator_page::operator_page(asio::io_context &context, const gateway_path &path, const fleet_control &control)
    : m_path(path)
    , m_control(control)
    , m_api(context.get_executor(), [this](http_request &request, http_session &) { return handle(request); }, {})
    , m_metrics(context.get_executor(), [this](http_request &request, http_session &) { return handle(request); }, {})
{
}

result_code operator_page::listen(const socket_address &address)
{
    http_server &server = m_apiInUse ? m_metrics : m_api;
    m_apiInUse = true;
    return server.listen(address);
}

asio::awaitable<http_response> operator_page::handle(const http_request &request)
{
    const std::string target(request.target());
    if (target == "/metrics") {
        co_return makeResponse(200, metrics(), "text/plain; version=0.0.4");
    }
    if (target == "/v1/fleet") {
        co_return makeResponse(200, fleet());
    }
    if (target.starts_with(requestPrefix)) {
        const json lines = m_path.history().find(target.substr(requestPrefix.size()));
        co_return makeResponse(lines.empty() ? 404 : 200, lines.dump());
    }
    co_return makeResponse(404, "{}");
}

std::string operator_page::metrics() const
{
    const time_point now = steady::now();
    const fleet_state &state = m_control.state();
    std::string text;
    for (const auto &[name, service] : m_path.services()) {
        service->metrics.append(text, name);
    }
    appendMetric(text, "config_version", "", static_cast<double>(state.position().configVersion));
    appendMetric(text, "view_age_ms", "", toMilliseconds(now - state.freshAt()));
    appendMetric(text, "members_alive", "", static_cast<double>(state.members().alive(now).size()));
    appendMetric(text, "store_calls_total", "", static_cast<double>(m_control.storeCalls()));
    appendMetric(text, "requests_in_hand", "", static_cast<double>(m_path.requestsInHand()));
    appendMetric(text, "caller_connections", "", static_cast<double>(m_path.callerConnections()));
    appendMetric(text, "idle_backend_connections", "", static_cast<double>(m_path.idleConnections()));
    appendMetric(text, "body_bytes_in_use", "", static_cast<double>(m_path.memory().used()));
    appendMetric(text, "body_bytes_limit", "", static_cast<double>(m_path.memory().limit()));
    appendMetric(text, "log_lines_dropped_total", "", static_cast<double>(droppedLogLines()));
    return text;
}

std::string operator_page::fleet() const
{
    const time_point now = steady::now();
    const fleet_state &state = m_control.state();
    json members = json::array();
    for (const fleet_member &member : state.members().alive(now)) {
        members.push_back({{"name", member.name}, {"zone", member.zone}, {"ready", member.ready}});
    }
    json backends = json::array();
    for (const auto &[name, service] : m_path.services()) {
        for (const auto &[id, backend] : service->backends) {
            backends.push_back(describe(*backend, name, now));
        }
    }
    const view_position position = state.position();
    const json body = {{"entry", state.members().self().name},
                       {"config_version", position.configVersion},
                       {"backends_changed_at", position.backendsChangedAt},
                       {"view_age_ms", toMilliseconds(now - state.freshAt())},
                       {"store_available", m_control.storeAvailable()},
                       {"members", members},
                       {"backends", backends}};
    return body.dump();
}

}
