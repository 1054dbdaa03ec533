#include "requestpath.h"

#include "headers.h"
#include "requestrun.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "cardamomdeck/membership/addressanswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Path at which callers ask which addresses to use. */
constexpr std::string_view addressPath = "/.well-known/cardamomdeck/addresses";

/** Period of reports to the control thread. */
constexpr milliseconds reportPeriod{50};

/** Reports between two renderings of the metrics and the states of back ends. */
constexpr unsigned reportsPerMetrics = 20;

/** Period in which due probes are looked for. */
constexpr milliseconds probePeriod{50};

/** Longest time that a probe may take. */
constexpr milliseconds probeTimeout{500};

/** Longest time that a request waits for a stale view to be confirmed. */
constexpr milliseconds freshnessWait{500};

/** Period in which a waiting request looks again. */
constexpr milliseconds freshnessPoll{5};

/** Age at which an idle connection is closed. */
constexpr milliseconds idleConnectionAge{30'000};

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;

server_options serverOptions(request_path *path, http_response (request_path::*reject)(result_code) const)
{
    server_options options;
    options.limits.bodyBytes = 64ULL * 1024 * 1024;
    options.rejection = [path, reject](result_code code) {
        return (path->*reject)(code);
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

/** The caller's deadline, or the service's if that comes first. */
time_point deadlineOf(const http_request &request, const service_spec &service, time_point arrival)
{
    const time_point serviceDeadline = arrival + service.timeout;
    const auto asked = headers::numberOf(request, headers::deadline);
    if (!asked) {
        return serviceDeadline;
    }
    constexpr std::int64_t furthestMs = 86'400'000;
    const std::int64_t left = std::clamp<std::int64_t>(*asked - unixMilliseconds(), -1, furthestMs);
    return std::min(serviceDeadline, arrival + milliseconds(left));
}

}

request_path::request_path(asio::io_context &traffic,
                           const entry_settings &settings,
                           traffic_link &link,
                           trace_sink &traces)
    : m_context(traffic)
    , m_settings(settings)
    , m_link(link)
    , m_traces(traces)
    , m_random(std::random_device()())
    , m_pool(traffic.get_executor())
    , m_server(
          traffic.get_executor(),
          [this](http_request &request, http_session &session) { return handle(request, session); },
          serverOptions(this, &request_path::reject))
    , m_update(std::make_shared<traffic_update>())
{
    auto initial = std::make_shared<traffic_update>();
    initial->view = std::make_shared<routing_view>();
    m_update = initial;
    m_link.updates.onItem([this](const std::shared_ptr<const traffic_update> &update) { install(update); });
}

result_code request_path::start()
{
    const result_code code = m_server.listen(m_settings.traffic);
    if (code != result_code::ok) {
        return code;
    }
    startLoop(m_context, "reports", [this] { return reportLoop(); });
    startLoop(m_context, "probes", [this] { return probeLoop(); });
    return code;
}

void request_path::stop()
{
    m_server.stopGracefully();
}

asio::awaitable<http_response> request_path::handle(http_request &request, http_session &session)
{
    if (pathOf(request) == addressPath) {
        co_return answerAddresses(request);
    }
    ++m_requestsInFlight;
    http_response response = co_await serve(request, session);
    --m_requestsInFlight;
    headers::set(response, headers::entry, m_settings.name);
    if (m_update->leaving) {
        response.keep_alive(false);
    }
    co_return response;
}

asio::awaitable<http_response> request_path::serve(http_request &request, http_session &session)
{
    const time_point arrival = steady::now();
    const std::int64_t arrivalUnixUs = unixMicroseconds();
    if (!co_await waitUntilFresh(arrival + freshnessWait)) {
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
    const service_spec &service = runtime->balance.service();
    if (request.body().size() > service.maxBodyBytes) {
        co_return reject(result_code::body_too_large);
    }
    if (runtime->inFlight >= service.maxInFlight) {
        runtime->metrics.requestEnded(result_code::overloaded, 0);
        co_return reject(result_code::overloaded);
    }
    request_traits traits;
    traits.idempotent = isIdempotent(*rule, request);
    traits.retriedAbove = headers::numberOf(request, headers::attempt).value_or(0) > 0;
    traits.deadline = deadlineOf(request, service, arrival);
    if (traits.deadline <= steady::now()) {
        co_return reject(result_code::deadline_unreachable);
    }
    const auto run = std::make_shared<request_run>(*this, runtime, request, traits);
    beginTrace(*run, request);
    ++runtime->inFlight;
    std::optional<http_response> response = co_await run->run(session);
    --runtime->inFlight;
    runtime->metrics.requestEnded(run->endCode(), toMilliseconds(steady::now() - arrival));
    recordRequest(*run, *rule, view->generation, arrivalUnixUs);
    if (!response) {
        session.abandon();
        co_return http_response();
    }
    headers::set(*response, headers::traceId, run->traceId);
    if (run->endCode() == result_code::ok) {
        headers::set(*response, headers::outcome, outcomeName(outcome::answered));
        headers::set(*response, headers::resultCode, "0");
    }
    co_return std::move(*response);
}

void request_path::beginTrace(request_run &run, const http_request &request)
{
    constexpr std::size_t wholePercent = 100;
    const auto context = headers::parseTraceparent(headers::valueOf(request, headers::traceparent));
    run.traceId = context ? context->traceId : headers::randomHex(m_random, traceIdDigits);
    run.parentSpanId = context ? context->parentId : std::string();
    run.spanId = headers::randomHex(m_random, spanIdDigits);
    run.traced = (context && context->sampled) || randomIndex(m_random, wholePercent) < m_settings.tracePercent;
}

void request_path::recordRequest(const request_run &run,
                                 const rule_spec &rule,
                                 log_offset generation,
                                 std::int64_t arrivalUnixUs)
{
    const result_code code = run.endCode();
    if (!run.traced && code == result_code::ok) {
        return;
    }
    trace_span span;
    span.traceId = run.traceId;
    span.spanId = run.spanId;
    span.parentId = run.parentSpanId;
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

asio::awaitable<bool> request_path::waitUntilFresh(time_point deadline)
{
    while (!m_link.isFresh(steady::now())) {
        if (steady::now() >= deadline) {
            co_return false;
        }
        co_await sleepUntil(steady::now() + freshnessPoll);
    }
    co_return true;
}

http_response request_path::answerAddresses(const http_request &request) const
{
    const auto target = request.target();
    const auto chosen = chooseAddresses(
        m_update->view->members, m_update->unusableEntries, std::string(target.data(), target.size()));
    nlohmann::json addresses = nlohmann::json::array();
    for (const entry_member &member : chosen) {
        addresses.push_back({{"address", toString(member.traffic)}, {"zone", member.zone}, {"entry", member.name}});
    }
    const nlohmann::json answer = {{"addresses", addresses},
                                   {"generation", m_update->view->generation},
                                   {"expires_unix_ms", unixMilliseconds() + addressAnswerLifetime.count()}};
    return makeResponse(200, answer.dump());
}

http_response request_path::reject(result_code code) const
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

void request_path::install(const std::shared_ptr<const traffic_update> &update)
{
    const bool newView = update->view != m_update->view;
    m_update = update;
    if (newView) {
        installServices(*update->view);
    }
    for (auto &[name, runtime] : m_services) {
        runtime->balance.setLeaving(update->leavingBackends);
        updateProbeBudgets(*runtime);
    }
    report();
}

void request_path::installServices(const routing_view &view)
{
    const time_point now = steady::now();
    std::map<std::string, std::shared_ptr<service_runtime>> next;
    for (const auto &[name, spec] : view.services) {
        const auto present = m_services.find(name);
        auto runtime
            = present == m_services.end() ? std::make_shared<service_runtime>(spec, m_settings.zone) : present->second;
        runtime->balance.setService(spec);
        runtime->retries.setPercent(spec.retryPercent);
        runtime->hedges.setPercent(spec.hedgePercent);
        const auto backends = view.backends.find(name);
        runtime->balance.setBackends(backends == view.backends.end() ? std::vector<backend_spec>() : backends->second,
                                     now);
        next[name] = std::move(runtime);
    }
    m_services = std::move(next);
}

void request_path::updateProbeBudgets(service_runtime &runtime) const
{
    const service_spec &service = runtime.balance.service();
    std::erase_if(runtime.probeBudgets,
                  [&](const auto &item) { return !runtime.balance.backends().contains(item.first); });
    for (const auto &[name, backend] : runtime.balance.backends()) {
        probe_budget &budget = runtime.probeBudgets[name];
        if (m_update->mayProbe && m_update->memberRank < service.entryCeiling) {
            budget.entitle(service.probesPerTenSeconds, service.entryCeiling, m_update->probeNotBefore);
        } else {
            budget.revoke();
        }
    }
}

asio::awaitable<void> request_path::reportLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + reportPeriod);
        report();
        m_pool.dropAllUnproven(steady::now() - idleConnectionAge);
    }
}

asio::awaitable<void> request_path::probeLoop()
{
    for (;;) {
        co_await sleepUntil(steady::now() + probePeriod);
        const time_point now = steady::now();
        if (!m_link.isFresh(now)) {
            continue;
        }
        for (const auto &[name, runtime] : m_services) {
            startDueProbes(runtime, now);
        }
    }
}

void request_path::startDueProbes(const std::shared_ptr<service_runtime> &runtime, time_point now)
{
    const milliseconds age = runtime->balance.service().probeAge;
    for (const auto &[name, backend] : runtime->balance.backends()) {
        const auto last = backend->lastInformation();
        const bool due = !last || *last + age <= now;
        if (!due || runtime->probing.contains(name) || !runtime->probeBudgets[name].take(now)) {
            continue;
        }
        runtime->probing.insert(name);
        ++runtime->metrics.probes;
        startTask(m_context, "probe", [this, runtime, backend = backend] { return probe(runtime, backend); });
    }
}

asio::awaitable<void> request_path::probe(std::shared_ptr<service_runtime> runtime, backend_handle backend)
{
    constexpr unsigned httpVersion = 11;
    const backend_spec target = backend->spec();
    const time_point deadline = steady::now() + probeTimeout;
    connection_ptr connection = m_pool.takeIdle(target.name, time_point::min());
    result_code code = result_code::ok;
    if (!connection) {
        connection = m_pool.create();
        code = co_await connection->connect(target.address, deadline);
    }
    if (code == result_code::ok) {
        http_request request(http::verb::get, runtime->balance.service().probePath, httpVersion);
        request.set(http::field::host, toString(target.address));
        const exchange_result exchanged = co_await connection->exchange(std::move(request), message_limits(), deadline);
        const auto load = headers::numberOf(exchanged.response, headers::load);
        if (exchanged.code == result_code::ok && load && *load >= 0) {
            backend->reported(static_cast<std::uint32_t>(std::min<std::int64_t>(*load, INT32_MAX)), steady::now());
        }
        if (exchanged.code == result_code::ok) {
            noteDraining(target.name, exchanged.response);
            m_pool.giveBack(target.name, connection);
        }
    }
    runtime->probing.erase(target.name);
}

void request_path::noteDraining(const std::string &backend, const http_response &response)
{
    if (headers::valueOf(response, headers::draining) == "true") {
        if (m_announcedLeaving.insert(backend).second) {
            log_line("backend_announced_shutdown").add("backend", backend).info();
            report();
        }
        return;
    }
    if (m_announcedLeaving.erase(backend) > 0) {
        log_line("backend_withdrew_shutdown").add("backend", backend).info();
        report();
    }
}

void request_path::report()
{
    auto next = makeReport();
    if (m_lastReport && *next == *m_lastReport) {
        return;
    }
    m_lastReport = next;
    m_link.reports.push(std::move(next));
}

std::shared_ptr<const traffic_report> request_path::makeReport()
{
    auto next = std::make_shared<traffic_report>();
    next->installed = m_update->view->generation;
    next->held = m_held;
    next->announcedLeaving = m_announcedLeaving;
    next->requestsInFlight = m_requestsInFlight;
    if (m_reports++ % reportsPerMetrics == 0) {
        m_metrics = renderMetrics();
        m_statuses = describeBackends();
    }
    next->metrics = m_metrics;
    next->backends = m_statuses;
    return next;
}

std::shared_ptr<const std::vector<backend_status>> request_path::describeBackends() const
{
    const time_point now = steady::now();
    auto statuses = std::make_shared<std::vector<backend_status>>();
    for (const auto &[serviceName, runtime] : m_services) {
        for (const auto &[name, backend] : runtime->balance.backends()) {
            statuses->push_back(
                {name, serviceName, backend->inFlight(), stateOf(*backend, now), backend->failureStreak()});
        }
    }
    return statuses;
}

std::string request_path::renderMetrics() const
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

std::string request_path::stateOf(const backend_stats &backend, time_point now) const
{
    if (backend.spec().draining) {
        return "draining";
    }
    if (m_update->leavingBackends.contains(backend.spec().name)) {
        return "leaving";
    }
    if (backend.isEjected(now)) {
        return "ejected";
    }
    return backend.isOnTrial() ? "on_trial" : "ready";
}

}
