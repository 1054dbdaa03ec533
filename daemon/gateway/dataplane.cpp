#include "dataplane.h"

#include "quotaexchange.h"

#include "cardamomdeck/base/countguard.h"
#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/asynctools.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/platform/exchangeheaders.h"
#include "cardamomdeck/platform/ingresscodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

/** Maximum number of pipelined requests per connection that are served concurrently. */
constexpr std::size_t pipelineDepth = 16;

/** Polling interval of requests that wait for a current view after a pause of this process. */
constexpr milliseconds viewCheckPeriod{5};

/** Retry-After delay in responses while this entry cannot serve requests. */
constexpr milliseconds unavailableRetryAfter{100};

/**
 * Interval between checks of idle connections to backend servers. Until the next check, unsolicited data from a
 * backend server fills the socket's receive buffer.
 */
constexpr milliseconds idleCheckPeriod{1000};

/** Time in which a server that has started again answers the probe before its first request. */
constexpr milliseconds restartProbeTimeout{200};

/** Share of the file descriptors for callers; the rest is for backend servers, peers, the store and files. */
constexpr double callerDescriptorShare = 0.6;

server_options trafficOptions(const platform::vm_resources &resources,
                              byte_budget &memory,
                              std::function<http_response(result_code)> rejection)
{
    server_options options;
    options.budget = &memory;
    options.maxConnections
        = static_cast<std::size_t>(callerDescriptorShare * static_cast<double>(resources.descriptors));
    options.limits.maxBodyBytes = 64ULL * 1024 * 1024;
    options.idleTimeout = milliseconds(15'000);
    options.maxPipelineDepth = pipelineDepth;
    options.makeRejection = std::move(rejection);
    return options;
}

std::string_view pathOf(const http_request &request)
{
    const auto target = request.target();
    const std::string_view text(target.data(), target.size());
    return text.substr(0, text.find('?'));
}

std::string_view hostOf(const http_request &request)
{
    const auto host = request[boost::beast::http::field::host];
    return {host.data(), host.size()};
}

}

data_plane::data_plane(asio::io_context &context,
                       const platform::platform_settings &settings,
                       stale_view_check isViewPossiblyStale)
    : m_settings(settings)
    , m_random(std::random_device()())
    , m_bodyMemory(byte_budget::limitFor(settings.resources.memoryBytes))
    , m_pool(context.get_executor())
    , m_announcements(m_pool, m_random)
    , m_prober(context, m_pool, m_announcements)
    , m_forwardingContext{context, m_pool, m_prober, m_announcements, m_random, m_bodyMemory, settings.zone}
    , m_services(settings.vmName,
                 {settings.fleetLimits.retryWindow, settings.fleetLimits.retryRatio, settings.fleetLimits.retryReserve},
                 settings.fleetLimits.maxProbesPerSecond)
    , m_trafficServer(
          context.get_executor(),
          [this](http_request &request, http_exchange &exchange) { return handleRequest(request, exchange); },
          trafficOptions(
              settings.resources, m_bodyMemory, [this](result_code code) { return rejectUnparsedRequest(code); }))
    , m_readinessServer(context.get_executor(),
                        [this](http_request &request, http_exchange &) { return handlePlatformRequest(request); },
                        {})
    , m_resolverServer(context.get_executor(),
                       [this](http_request &request, http_exchange &) { return handlePlatformRequest(request); },
                       {})
    , m_isViewPossiblyStale(std::move(isViewPossiblyStale))
    , m_view(std::make_shared<fleet_view>())
    , m_entryResolver(settings.vmName)
{
}

result_code data_plane::start()
{
    for (const auto &[server, address] : {std::pair(&m_trafficServer, m_settings.trafficAddress),
                                          std::pair(&m_readinessServer, m_settings.readinessAddress),
                                          std::pair(&m_resolverServer, m_settings.resolverAddress)}) {
        const result_code code = server->listen(address);
        if (code != result_code::ok) {
            log_line("port_in_use").add("address", toString(address)).warn();
            return code;
        }
    }
    startLoop(m_forwardingContext.context, "idle_connections", [this] { return dropIdleConnections(); });
    return result_code::ok;
}

asio::awaitable<void> data_plane::dropIdleConnections()
{
    for (;;) {
        co_await sleepUntil(steady::now() + idleCheckPeriod);
        m_pool.dropUnknown([this](const std::string &id) { return m_services.hasServingBackend(id); });
        m_services.removeUnusedAnnouncements(steady::now());
        m_pool.dropAllStale(steady::now() - connection_pool::maxIdleTime);
        m_pool.dropUnusable();
        probeRestartedBackends();
    }
}

void data_plane::probeRestartedBackends()
{
    for (const auto &[name, service] : m_services.services()) {
        std::vector<backend_state_ptr> backends;
        for (const auto &[id, backend] : service->backends) {
            if (backend->availability->needsProbe()) {
                log_line("backend_probed_first")
                    .add("backend", id)
                    .add("started_unix_ms", backend->server.startUnixMs)
                    .info();
                backends.push_back(backend);
            }
        }
        if (backends.empty()) {
            continue;
        }
        // Not subject to the rate limit, which the probes of requests use up under load: there are few of these.
        startTask(m_forwardingContext.context, "restart_probe", [this, probedService = service, backends] {
            return probeRestarted(probedService, backends);
        });
    }
}

asio::awaitable<void> data_plane::probeRestarted(service_state_ptr service, std::vector<backend_state_ptr> backends)
{
    const time_point deadline = steady::now() + restartProbeTimeout;
    const std::vector<probe_result> results
        = co_await m_prober.probe(std::move(service), std::move(backends), restartProbeTimeout, deadline);
    for (const probe_result &result : results) {
        if (result.connection) {
            m_announcements.releaseConnection(*result.backend, result.connection);
        }
    }
}

void data_plane::setQuotas(quota_exchange &quotas)
{
    m_quotas = &quotas;
}

void data_plane::applyView(const fleet_view_ptr &view)
{
    const bool configChanged = view->config->version != m_view->config->version;
    m_view = view;
    m_entryResolver.setReady(view->ready, steady::now());
    m_services.applyView(*view);
    if (!configChanged) {
        return;
    }
    const caller_limits &limits = view->config->limits;
    m_trafficServer.setLimits({limits.maxHeaderBytes, limits.maxBodyBytes}, limits.headerTimeout, limits.idleTimeout);
    m_rules = rule_table(view->config);
    std::erase_if(m_splits, [this](const auto &item) {
        const traffic_rule *const rule = m_rules.findByName(item.first);
        return rule == nullptr || rule->services != item.second.services();
    });
    log_line("config_installed").add("config", view->config->version).add("rules", view->config->rules.size()).info();
}

void data_plane::startShutdown(time_point lastDeadline)
{
    m_shuttingDown = true;
    m_lastDeadline = lastDeadline;
    m_trafficServer.closeAfterResponses();
}

void data_plane::rejectNewRequests()
{
    m_rejectingRequests = true;
}

void data_plane::stopAccepting()
{
    m_trafficServer.stopGracefully();
}

std::size_t data_plane::requestsInFlight() const
{
    return m_requestsInFlight;
}

std::size_t data_plane::callerConnections() const
{
    return m_trafficServer.connectionCount();
}

const byte_budget &data_plane::bodyMemory() const
{
    return m_bodyMemory;
}

std::size_t data_plane::idleBackendConnections() const
{
    return m_pool.idleCount();
}

const std::map<std::string, service_state_ptr> &data_plane::services() const
{
    return m_services.services();
}

const request_history &data_plane::history() const
{
    return m_history;
}

asio::awaitable<http_response> data_plane::handlePlatformRequest(http_request &request)
{
    if (platform::isReadinessRequest(request)) {
        const bool ready = !m_shuttingDown && m_view->ready;
        co_return makeResponse(ready ? 200 : 503, "{}");
    }
    if (const auto resolveRequest = platform::decodeResolveRequest(request)) {
        co_return makeAddressResponse({resolveRequest->zone, resolveRequest->region});
    }
    co_return makeResponse(404, "{}");
}

http_response data_plane::makeAddressResponse(const caller_location &location)
{
    const resolve_result resolved = m_entryResolver.resolve(m_view->readyMembers,
                                                            m_settings.zoneRegions,
                                                            location,
                                                            platform::maxAddresses,
                                                            m_settings.fleetLimits.maxAddressTtl,
                                                            steady::now(),
                                                            m_random);
    if (resolved.entries.empty()) {
        return makeResponse(503, "{}");
    }
    std::vector<std::string> addresses;
    for (const fleet_member &entry : resolved.entries) {
        addresses.push_back(toString({entry.host, m_settings.trafficAddress.port}));
    }
    return platform::encodeResolveResponse(addresses, resolved.lifetime);
}

http_response data_plane::makeErrorResponse(result_code code, milliseconds retryAfter) const
{
    const result_code_info &info = infoOf(code);
    const nlohmann::json body = {{"code", static_cast<int>(code)}, {"name", info.name}, {"message", info.meaning}};
    http_response response = makeResponse(info.httpStatus, body.dump());
    constexpr unsigned unavailable = 503;
    constexpr unsigned tooManyRequests = 429;
    if (info.httpStatus == unavailable || info.httpStatus == tooManyRequests) {
        platform::setRetryAfter(response, retryAfter);
    }
    return response;
}

http_response data_plane::rejectUnparsedRequest(result_code code) const
{
    log_line("request_rejected").add("code", static_cast<int>(code)).add("name", infoOf(code).name).warn();
    return makeErrorResponse(code, unavailableRetryAfter);
}

http_response data_plane::rejectUnsentRequest(const http_request &request, result_code code) const
{
    log_line("request_refused")
        .add("id", platform::decodeCallerRequest(request).requestId)
        .add("host", hostOf(request))
        .add("path", pathOf(request))
        .add("code", infoOf(code).name)
        .add("config", m_view->config->version)
        .add("leaving", m_shuttingDown ? "true" : "false")
        .add("body_bytes_in_use", m_bodyMemory.used())
        .info();
    return makeErrorResponse(code, unavailableRetryAfter);
}

std::string data_plane::selectService(const traffic_rule &rule)
{
    if (rule.services.size() == 1) {
        return rule.services.front().service;
    }
    const auto position = m_splits.try_emplace(rule.name, rule.services, m_random).first;
    return position->second.next();
}

asio::awaitable<void> data_plane::awaitCurrentView()
{
    while (m_isViewPossiblyStale()) {
        co_await sleepUntil(steady::now() + viewCheckPeriod);
    }
}

asio::awaitable<http_response> data_plane::handleRequest(http_request &request, http_exchange &exchange)
{
    const time_point arrivedAt = steady::now();
    co_await awaitCurrentView();
    const std::uint64_t version = m_view->config->version;
    if (version == 0 || m_rejectingRequests) {
        co_return rejectUnsentRequest(request, version == 0 ? result_code::view_stale : result_code::overloaded);
    }
    const traffic_rule_ptr rule = m_rules.find(hostOf(request), pathOf(request));
    if (!rule) {
        co_return rejectUnsentRequest(request, result_code::route_unknown);
    }
    if (m_bodyMemory.isAbove(byte_budget::rejectionThreshold)) {
        co_return rejectUnsentRequest(request, result_code::memory_short);
    }
    const count_guard inFlightGuard(m_requestsInFlight);
    co_return co_await forward(request, exchange, rule, arrivedAt);
}

void data_plane::logRequest(const request_forwarder &forwarder,
                            const forwarding_outcome &outcome,
                            std::uint64_t configVersion,
                            const std::string &service,
                            double durationMs)
{
    const std::optional<load_report> load = forwarder.lastLoad();
    const bool answered = outcome.code == result_code::ok;
    log_line line("request");
    line.add("id", forwarder.request().id)
        .add("rule", forwarder.request().rule->name)
        .add("config", configVersion)
        .add("service", service)
        .add("outcome", infoOf(outcome.code).name)
        .add("status", answered ? outcome.response.result_int() : infoOf(outcome.code).httpStatus)
        .add("attempts", forwarder.attempts())
        .add("failed_attempts", forwarder.failedAttempts())
        .add("backend", forwarder.lastBackend())
        .add("probed", forwarder.candidateCount())
        .add("expected_ms", forwarder.expectedLatencyMs())
        .add("took_ms", durationMs);
    if (load) {
        line.add("running", load->running).add("waiting", load->waiting).add("pace", load->slowdown);
    }
    if (!answered) {
        line.add("retry_after_ms", outcome.retryAfter.count());
    }
    if (outcome.withheld != withheld_backends()) {
        line.add("backends_leaving", outcome.withheld.leaving).add("backends_paused", outcome.withheld.paused);
    }
    line.info();
    forwarder.request().service->metrics.requestEnded(outcome.code, durationMs);
    m_history.add({forwarder.request().id, line.text()});
}

// The only place in which quotas take the workspace of a request: to be replaced by forwarded_request::workspace.
std::shared_ptr<const workspace> data_plane::workspaceOf(const http_request &request) const
{
    const auto header = request["Key"];
    const std::string_view key(header.data(), header.size());
    for (const auto &[name, configured] : m_view->config->workspaces) {
        if (std::ranges::find(configured.keys, key) != configured.keys.end()) {
            return {m_view->config, &configured};
        }
    }
    return nullptr;
}

asio::awaitable<http_response>
data_plane::forward(http_request &request, http_exchange &exchange, traffic_rule_ptr rule, time_point arrivedAt)
{
    const platform::caller_request caller = platform::decodeCallerRequest(request);
    const time_point deadline = arrivedAt + std::min(rule->timeout, caller.timeout.value_or(rule->timeout));
    if (deadline > m_lastDeadline) {
        co_return rejectUnsentRequest(request, result_code::overloaded);
    }
    const std::string service = selectService(*rule);
    const std::uint64_t version = m_view->config->version;
    forwarded_request forwarded;
    forwarded.service = m_services.find(service);
    if (!forwarded.service) {
        co_return rejectUnsentRequest(request, result_code::no_backend);
    }
    const std::shared_ptr<const workspace> callerWorkspace = workspaceOf(request);
    quota_decision quota;
    if (callerWorkspace) {
        quota = co_await m_quotas->admit(*callerWorkspace, deadline);
        if (quota.verdict == quota_verdict::rejected) {
            m_quotas->logRejection(caller.requestId, callerWorkspace->name, quota);
            co_return makeErrorResponse(result_code::quota_exceeded, quota.retryAfter);
        }
    }
    removeHopByHopHeaders(request);
    request.erase(boost::beast::http::field::expect);
    forwarded.message = std::move(request);
    forwarded.message.keep_alive(true);
    forwarded.message.prepare_payload();
    forwarded.id = caller.requestId;
    forwarded.rule = rule;
    forwarded.mostUrgentPriority = m_rules.mostUrgentPriority(service);
    forwarded.liveMembers = m_view->liveMembers;
    forwarded.arrivedAt = arrivedAt;
    forwarded.deadline = deadline;
    const auto forwarder = std::make_shared<request_forwarder>(m_forwardingContext, std::move(forwarded));
    forwarding_outcome outcome = co_await forwarder->run(exchange);
    logRequest(*forwarder, outcome, version, service, toMilliseconds(steady::now() - arrivedAt));
    if (callerWorkspace && infoOf(outcome.code).requestOutcome == cardamomdeck::outcome::not_run) {
        m_quotas->giveBack(callerWorkspace->name, quota);
    }
    if (outcome.code != result_code::ok) {
        co_return makeErrorResponse(outcome.code, outcome.retryAfter);
    }
    exchange.holdUntilWritten(std::move(outcome.memory));
    removeHopByHopHeaders(outcome.response);
    outcome.response.prepare_payload();
    outcome.response.keep_alive(true);
    co_return std::move(outcome.response);
}

}
