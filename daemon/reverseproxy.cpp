#include "reverseproxy.h"

#include "headers.h"
#include "proxiedrequest.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/membership/entryselection.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Path of the endpoint that returns the entry addresses for a caller to use. */
constexpr std::string_view addressPath = "/.well-known/cardamomdeck/addresses";

/** Period of reports to the control thread. */
constexpr milliseconds reportPeriod{50};

/** Number of reports between two updates of the metrics and the states of the backend servers. */
constexpr unsigned reportsPerMetricsUpdate = 20;

/** Period in which due probes are started. */
constexpr milliseconds probeCheckPeriod{50};

/** Timeout of a probe, including the connection setup. */
constexpr milliseconds probeTimeout{500};

/** Maximum time that a request waits for a valid view lease. */
constexpr milliseconds maxLeaseWait{500};

/** Period in which a waiting request checks the lease. */
constexpr milliseconds leasePollInterval{5};

/** Time since an idle connection was last alive after which it is closed. */
constexpr milliseconds maxIdleConnectionAge{30'000};

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;

server_options
serverOptions(reverse_proxy *proxy, byte_budget &memory, http_response (reverse_proxy::*reject)(result_code) const)
{
    server_options options;
    options.budget = &memory;
    options.limits.maxBodyBytes = 64ULL * 1024 * 1024;
    options.makeRejection = [proxy, reject](result_code code) {
        return (proxy->*reject)(code);
    };
    return options;
}

std::string_view pathOf(const http_request &request)
{
    const auto target = request.target();
    const std::string_view text(target.data(), target.size());
    return text.substr(0, text.find('?'));
}

bool isIdempotent(const rule_spec &rule, const http_request &request)
{
    const auto method = request.method_string();
    return std::ranges::find(rule.idempotentMethods, std::string_view(method.data(), method.size()))
           != rule.idempotentMethods.end();
}

/** The earlier of the caller's deadline and the timeout of the service. */
time_point deadlineOf(const http_request &request, const service_spec &service, time_point arrival)
{
    const time_point serviceDeadline = arrival + service.timeout;
    const auto callerDeadlineMs = headers::numberOf(request, headers::deadline);
    if (!callerDeadlineMs) {
        return serviceDeadline;
    }
    constexpr std::int64_t maxRemainingMs = 86'400'000;
    const std::int64_t remainingMs
        = std::clamp<std::int64_t>(*callerDeadlineMs - unixMilliseconds(), -1, maxRemainingMs);
    return std::min(serviceDeadline, arrival + milliseconds(remainingMs));
}

}

reverse_proxy::reverse_proxy(asio::io_context &traffic,
                             const entry_settings &settings,
                             traffic_channel &channel,
                             trace_sink &traces)
    : m_context(traffic)
    , m_settings(settings)
    , m_trafficChannel(channel)
    , m_traces(traces)
    , m_random(std::random_device()())
    , m_bodyMemory(byte_budget::limitFor(settings.memoryBytes))
    , m_pool(traffic.get_executor())
    , m_server(
          traffic.get_executor(),
          [this](http_request &request, http_exchange &callerExchange) { return handle(request, callerExchange); },
          serverOptions(this, m_bodyMemory, &reverse_proxy::reject))
    , m_update(std::make_shared<traffic_update>())
{
    auto initial = std::make_shared<traffic_update>();
    initial->view = std::make_shared<routing_view>();
    m_update = initial;
    m_trafficChannel.updates.onItem([this](const std::shared_ptr<const traffic_update> &update) { install(update); });
}

result_code reverse_proxy::start()
{
    const result_code code = m_server.listen(m_settings.traffic);
    if (code != result_code::ok) {
        return code;
    }
    startLoop(m_context, "reports", [this] { return reportLoop(); });
    startLoop(m_context, "probes", [this] { return probeLoop(); });
    return code;
}

void reverse_proxy::stop()
{
    m_server.stopGracefully();
    // A connection may have been accepted already whose handler has not run yet; it is counted first.
    asio::post(m_context, [this] {
        m_stopped = true;
        report();
    });
}

asio::awaitable<http_response> reverse_proxy::handle(http_request &request, http_exchange &callerExchange)
{
    if (pathOf(request) == addressPath) {
        co_return makeAddressResponse(request);
    }
    ++m_requestsInFlight;
    http_response response = co_await serve(request, callerExchange);
    --m_requestsInFlight;
    headers::set(response, headers::entry, m_settings.name);
    if (m_update->shuttingDown) {
        response.keep_alive(false);
    }
    co_return response;
}

asio::awaitable<http_response> reverse_proxy::serve(http_request &request, http_exchange &callerExchange)
{
    const time_point arrival = steady::now();
    const std::int64_t arrivalUnixUs = unixMicroseconds();
    if (!co_await waitForLease(arrival + maxLeaseWait)) {
        co_return reject(result_code::view_stale);
    }
    const routing_view_ptr view = m_update->view;
    const rule_spec *const rule = matchRule(*view, pathOf(request));
    if (rule == nullptr) {
        co_return reject(result_code::route_unknown);
    }
    const auto found = m_services.find(rule->service);
    if (found == m_services.end()) {
        co_return reject(result_code::route_unknown);
    }
    const std::shared_ptr<service_runtime> runtime = found->second;
    const service_spec &service = runtime->loadBalancer.service();
    if (request.body().size() > service.maxBodyBytes) {
        co_return reject(result_code::body_too_large);
    }
    if (m_bodyMemory.isAbove(byte_budget::rejectionThreshold)) {
        runtime->metrics.requestEnded(result_code::memory_short, 0);
        co_return reject(result_code::memory_short);
    }
    if (runtime->inFlight >= service.maxInFlight) {
        runtime->metrics.requestEnded(result_code::overloaded, 0);
        co_return reject(result_code::overloaded);
    }
    request_traits traits;
    traits.idempotent = isIdempotent(*rule, request);
    traits.retriedByCaller = headers::numberOf(request, headers::attempt).value_or(0) > 0;
    traits.deadline = deadlineOf(request, service, arrival);
    if (traits.deadline <= steady::now()) {
        co_return reject(result_code::deadline_unreachable);
    }
    const auto proxied = std::make_shared<proxied_request>(*this, runtime, request, traits);
    beginTrace(*proxied, request);
    ++runtime->inFlight;
    std::optional<http_response> response = co_await proxied->run(callerExchange);
    --runtime->inFlight;
    runtime->metrics.requestEnded(proxied->endCode(), toMilliseconds(steady::now() - arrival));
    recordRequestSpan(*proxied, *rule, view->generation, arrivalUnixUs);
    if (!response) {
        callerExchange.abandon();
        co_return http_response();
    }
    headers::set(*response, headers::traceId, proxied->traceId);
    if (proxied->endCode() == result_code::ok) {
        headers::set(*response, headers::outcome, outcomeName(outcome::answered));
        headers::set(*response, headers::resultCode, "0");
    }
    co_return std::move(*response);
}

void reverse_proxy::beginTrace(proxied_request &proxied, const http_request &request)
{
    constexpr std::size_t maxPercent = 100;
    const auto context = headers::parseTraceparent(headers::valueOf(request, headers::traceparent));
    proxied.traceId = context ? context->traceId : headers::randomHex(m_random, traceIdDigits);
    proxied.parentSpanId = context ? context->parentId : std::string();
    proxied.spanId = headers::randomHex(m_random, spanIdDigits);
    proxied.sampled = (context && context->sampled) || randomIndex(m_random, maxPercent) < m_settings.tracePercent;
}

void reverse_proxy::recordRequestSpan(const proxied_request &proxied,
                                      const rule_spec &rule,
                                      log_offset generation,
                                      std::int64_t arrivalUnixUs)
{
    const result_code code = proxied.endCode();
    if (!proxied.sampled && code == result_code::ok) {
        return;
    }
    trace_span span;
    span.traceId = proxied.traceId;
    span.spanId = proxied.spanId;
    span.parentId = proxied.parentSpanId;
    span.name = "request";
    span.startUnixUs = arrivalUnixUs;
    span.endUnixUs = unixMicroseconds();
    span.tags = {{"service", rule.service},
                 {"rule", rule.name},
                 {"generation", std::to_string(generation)},
                 {"code", std::string(infoOf(code).name)},
                 {"outcome", std::string(outcomeName(infoOf(code).requestOutcome))}};
    m_traces.record(std::move(span));
}

asio::awaitable<bool> reverse_proxy::waitForLease(time_point deadline)
{
    while (!m_trafficChannel.isLeaseValid(steady::now())) {
        if (steady::now() >= deadline) {
            co_return false;
        }
        co_await sleepUntil(steady::now() + leasePollInterval);
    }
    co_return true;
}

http_response reverse_proxy::makeAddressResponse(const http_request &request) const
{
    const auto target = request.target();
    const auto selected = selectEntries(
        m_update->view->members, m_update->unavailableEntries, std::string(target.data(), target.size()));
    nlohmann::json addresses = nlohmann::json::array();
    for (const entry_member &member : selected) {
        addresses.push_back(
            {{"address", toString(member.trafficAddress)}, {"zone", member.zone}, {"entry", member.name}});
    }
    const nlohmann::json responseBody = {{"addresses", addresses},
                                         {"generation", m_update->view->generation},
                                         {"expires_unix_ms", unixMilliseconds() + entrySelectionLifetime.count()}};
    return makeResponse(200, responseBody.dump());
}

http_response reverse_proxy::reject(result_code code) const
{
    const result_code_info &info = infoOf(code);
    log_line("request_rejected")
        .add("code", static_cast<int>(code))
        .add("name", info.name)
        .add("outcome", outcomeName(info.requestOutcome))
        .warn();
    const nlohmann::json body = {{"code", static_cast<int>(code)},
                                 {"name", info.name},
                                 {"outcome", outcomeName(info.requestOutcome)},
                                 {"message", info.meaning}};
    http_response response = makeResponse(info.httpStatus, body.dump());
    headers::set(response, headers::outcome, outcomeName(info.requestOutcome));
    headers::set(response, headers::resultCode, std::to_string(static_cast<int>(code)));
    headers::set(response, headers::entry, m_settings.name);
    if (info.httpStatus == static_cast<unsigned>(http::status::service_unavailable)) {
        response.set(http::field::retry_after, "1");
    }
    headers::set(response, headers::retried, "true");
    return response;
}

void reverse_proxy::install(const std::shared_ptr<const traffic_update> &update)
{
    const bool viewChanged = update->view != m_update->view;
    m_update = update;
    if (viewChanged) {
        installServices(*update->view);
    }
    for (auto &[name, runtime] : m_services) {
        runtime->loadBalancer.setShuttingDown(update->shuttingDownBackends);
        updateProbeBudgets(*runtime);
    }
    report();
}

void reverse_proxy::installServices(const routing_view &view)
{
    const time_point now = steady::now();
    std::map<std::string, std::shared_ptr<service_runtime>> newServices;
    for (const auto &[name, spec] : view.services) {
        const auto existing = m_services.find(name);
        auto runtime = existing == m_services.end() ? std::make_shared<service_runtime>(spec, m_settings.zone)
                                                    : existing->second;
        runtime->loadBalancer.setService(spec);
        runtime->retryBudget.setPercent(spec.retryPercent);
        runtime->hedgeBudget.setPercent(spec.hedgePercent);
        const auto backends = view.backends.find(name);
        runtime->loadBalancer.setBackends(
            backends == view.backends.end() ? std::vector<backend_spec>() : backends->second, now);
        newServices[name] = std::move(runtime);
    }
    m_services = std::move(newServices);
}

void reverse_proxy::updateProbeBudgets(service_runtime &runtime) const
{
    const service_spec &service = runtime.loadBalancer.service();
    std::erase_if(runtime.probeBudgets,
                  [&](const auto &item) { return !runtime.loadBalancer.backends().contains(item.first); });
    for (const auto &[name, backend] : runtime.loadBalancer.backends()) {
        probe_budget &budget = runtime.probeBudgets[name];
        if (m_update->probingAllowed && m_update->memberRank < service.maxProbingEntries) {
            budget.grantShare(service.maxProbesPerTenSeconds, service.maxProbingEntries, m_update->probeNotBefore);
        } else {
            budget.revoke();
        }
    }
}

asio::awaitable<void> reverse_proxy::reportLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + reportPeriod);
        report();
        m_pool.dropAllStale(steady::now() - maxIdleConnectionAge);
    }
}

asio::awaitable<void> reverse_proxy::probeLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + probeCheckPeriod);
        const time_point now = steady::now();
        if (!m_trafficChannel.isLeaseValid(now)) {
            continue;
        }
        for (const auto &[name, runtime] : m_services) {
            startDueProbes(runtime, now);
        }
    }
}

void reverse_proxy::startDueProbes(const std::shared_ptr<service_runtime> &runtime, time_point now)
{
    const milliseconds maxAge = runtime->loadBalancer.service().maxLoadDataAge;
    for (const auto &[name, backend] : runtime->loadBalancer.backends()) {
        const auto lastUpdate = backend->lastUpdatedAt();
        const bool due = !lastUpdate || *lastUpdate + maxAge <= now;
        if (!due || runtime->probesInFlight.contains(name) || !runtime->probeBudgets[name].tryAcquire(now)) {
            continue;
        }
        runtime->probesInFlight.insert(name);
        ++runtime->metrics.probes;
        startTask(m_context, "probe", [this, runtime, backend = backend] { return probe(runtime, backend); });
    }
}

asio::awaitable<void> reverse_proxy::probe(std::shared_ptr<service_runtime> runtime, backend_handle backend)
{
    constexpr unsigned httpVersion = 11;
    const backend_spec target = backend->spec();
    const time_point deadline = steady::now() + probeTimeout;
    connection_ptr connection = m_pool.acquireIdle(target.name, time_point::min());
    result_code code = result_code::ok;
    if (!connection) {
        connection = m_pool.create();
        code = co_await connection->connect(target.address, deadline);
    }
    if (code == result_code::ok) {
        http_request request(http::verb::get, runtime->loadBalancer.service().probePath, httpVersion);
        request.set(http::field::host, toString(target.address));
        response_rules rules;
        rules.budget = &m_bodyMemory;
        const exchange_result exchanged
            = co_await connection->exchange(std::move(request), message_limits(), deadline, std::move(rules));
        const auto load = headers::numberOf(exchanged.response, headers::load);
        if (exchanged.code == result_code::ok && load && *load >= 0) {
            backend->recordLoadReport(static_cast<std::uint32_t>(std::min<std::int64_t>(*load, INT32_MAX)),
                                      steady::now());
        }
        if (exchanged.code == result_code::ok) {
            updateShutdownAnnouncement(target.name, exchanged.response);
            m_pool.release(target.name, connection);
        }
    }
    runtime->probesInFlight.erase(target.name);
}

void reverse_proxy::updateShutdownAnnouncement(const std::string &backend, const http_response &response)
{
    if (headers::valueOf(response, headers::draining) == "true") {
        if (m_announcedShutdowns.insert(backend).second) {
            log_line("backend_announced_shutdown").add("backend", backend).info();
            report();
        }
        return;
    }
    if (m_announcedShutdowns.erase(backend) > 0) {
        log_line("backend_withdrew_shutdown").add("backend", backend).info();
        report();
    }
}

void reverse_proxy::report()
{
    auto nextReport = makeReport();
    if (m_lastReport && *nextReport == *m_lastReport) {
        return;
    }
    m_lastReport = nextReport;
    m_trafficChannel.reports.push(std::move(nextReport));
}

std::shared_ptr<const traffic_report> reverse_proxy::makeReport()
{
    auto nextReport = std::make_shared<traffic_report>();
    nextReport->installed = m_update->view->generation;
    nextReport->inFlightByBackend = m_inFlightByBackend;
    nextReport->announcedShutdowns = m_announcedShutdowns;
    nextReport->requestsInFlight = m_requestsInFlight;
    nextReport->callerConnections = m_server.connectionCount();
    nextReport->stopped = m_stopped;
    if (m_reportCount++ % reportsPerMetricsUpdate == 0) {
        m_metrics = renderMetrics();
        m_statuses = describeBackends();
    }
    nextReport->metrics = m_metrics;
    nextReport->backends = m_statuses;
    return nextReport;
}

std::shared_ptr<const std::vector<backend_status>> reverse_proxy::describeBackends() const
{
    const time_point now = steady::now();
    auto statuses = std::make_shared<std::vector<backend_status>>();
    for (const auto &[serviceName, runtime] : m_services) {
        for (const auto &[name, backend] : runtime->loadBalancer.backends()) {
            statuses->push_back(
                {name, serviceName, backend->inFlight(), backendState(*backend, now), backend->consecutiveFailures()});
        }
    }
    return statuses;
}

std::string reverse_proxy::renderMetrics() const
{
    std::string text;
    for (const auto &[name, runtime] : m_services) {
        runtime->metrics.append(text, name);
    }
    appendMetric(text, "requests_in_flight", "", static_cast<double>(m_requestsInFlight));
    appendMetric(text, "caller_connections", "", static_cast<double>(m_server.connectionCount()));
    appendMetric(text, "idle_backend_connections", "", static_cast<double>(m_pool.idleCount()));
    appendMetric(text, "spans_dropped_total", "", static_cast<double>(m_traces.dropped()));
    return text;
}

std::string reverse_proxy::backendState(const backend_stats &backend, time_point now) const
{
    if (backend.spec().draining) {
        return "draining";
    }
    if (m_update->shuttingDownBackends.contains(backend.spec().name)) {
        return "leaving";
    }
    if (backend.isEjected(now)) {
        return "ejected";
    }
    return backend.isOnTrial() ? "on_trial" : "ready";
}

}
