#include "gatewaypath.h"

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

/** Requests of one connection that are served at once. */
constexpr std::size_t pipelineDepth = 16;

/** Period in which requests that wait for a view after a pause look for it. */
constexpr milliseconds trustPoll{5};

/** Pause that callers are asked for while this entry cannot serve them. */
constexpr milliseconds unreadyPause{100};

/**
 * Part of the VM's memory for the bodies of requests and answers. A body is held twice while it is handed on, and
 * growing texts take up to half as much again.
 */
constexpr double bodyPart = 0.15;

/**
 * Part of that in use above which new requests are refused, so that those in hand find room for their answers. Large
 * messages alone do not fill it: small requests are served beside them.
 */
constexpr double refusedAbove = 0.85;

/**
 * Period in which idle connections to back ends are looked at. What a back end sends on one without being asked fills
 * the socket's buffer in the meantime.
 */
constexpr milliseconds idlePeriod{1000};

/** Part of the descriptors for callers; the others are for back ends, peers, the store and files. */
constexpr double callerPart = 0.6;

server_options trafficOptions(const platform::vm_resources &resources,
                              byte_budget &memory,
                              std::function<http_response(result_code)> rejection)
{
    server_options options;
    options.budget = &memory;
    options.maxConnections = static_cast<std::size_t>(callerPart * static_cast<double>(resources.descriptors));
    options.limits.bodyBytes = 64ULL * 1024 * 1024;
    options.idleTimeout = milliseconds(15'000);
    options.pipelineDepth = pipelineDepth;
    options.rejection = std::move(rejection);
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

gateway_path::gateway_path(asio::io_context &traffic,
                           const platform::platform_settings &settings,
                           suspicion viewSuspect)
    : m_settings(settings)
    , m_random(std::random_device()())
    , m_memory(static_cast<std::size_t>(bodyPart * static_cast<double>(settings.resources.memoryBytes)))
    , m_pool(traffic.get_executor())
    , m_prober(traffic, m_pool)
    , m_forwarding{traffic, m_pool, m_prober, m_random, m_memory, settings.zone}
    , m_directory(settings.vmName,
                  {settings.bounds.retryWindow, settings.bounds.retryRatio, settings.bounds.retryReserve},
                  settings.bounds.probesPerSecond)
    , m_traffic(
          traffic.get_executor(),
          [this](http_request &request, http_session &session) { return handle(request, session); },
          trafficOptions(settings.resources, m_memory, [this](result_code code) { return rejectUnread(code); }))
    , m_readiness(
          traffic.get_executor(), [this](http_request &request, http_session &) { return answerQuestion(request); }, {})
    , m_resolver(
          traffic.get_executor(), [this](http_request &request, http_session &) { return answerQuestion(request); }, {})
    , m_viewSuspect(std::move(viewSuspect))
    , m_view(std::make_shared<fleet_view>())
    , m_advisor(settings.vmName)
{
}

result_code gateway_path::start()
{
    for (const auto &[server, address] : {std::pair(&m_traffic, m_settings.traffic),
                                          std::pair(&m_readiness, m_settings.readiness),
                                          std::pair(&m_resolver, m_settings.resolver)}) {
        const result_code code = server->listen(address);
        if (code != result_code::ok) {
            log_line("port_in_use").add("address", toString(address)).warn();
            return code;
        }
    }
    startLoop(m_forwarding.context, "idle_connections", [this] { return dropIdleConnections(); });
    return result_code::ok;
}

asio::awaitable<void> gateway_path::dropIdleConnections()
{
    for (;;) {
        co_await sleepUntil(steady::now() + idlePeriod);
        m_pool.dropUnknown([this](const std::string &id) { return m_directory.hasBackend(id); });
        m_pool.dropAllUnproven(steady::now() - connection_pool::idleLimit);
        m_pool.dropUnusable();
    }
}

void gateway_path::install(const fleet_view_ptr &view)
{
    const bool newConfig = view->config->version != m_view->config->version;
    m_view = view;
    m_advisor.setReady(view->ready, steady::now());
    m_directory.install(*view);
    if (!newConfig) {
        return;
    }
    const caller_limits &limits = view->config->limits;
    m_traffic.setLimits({limits.headBytes, limits.bodyBytes}, limits.headTimeout, limits.idleTimeout);
    m_rules = rule_table(view->config);
    std::erase_if(m_splits, [this](const auto &item) {
        const traffic_rule *const rule = m_rules.named(item.first);
        return rule == nullptr || rule->services != item.second.services();
    });
    log_line("config_installed").add("config", view->config->version).add("rules", view->config->rules.size()).info();
}

void gateway_path::startLeaving()
{
    m_leaving = true;
    m_traffic.closeAfterAnswers();
}

void gateway_path::refuseNew()
{
    m_refusing = true;
}

void gateway_path::stop()
{
    m_traffic.stopGracefully();
}

std::size_t gateway_path::requestsInHand() const
{
    return m_requestsInHand;
}

std::size_t gateway_path::callerConnections() const
{
    return m_traffic.connectionCount();
}

const byte_budget &gateway_path::memory() const
{
    return m_memory;
}

std::size_t gateway_path::idleConnections() const
{
    return m_pool.idleCount();
}

const std::map<std::string, service_traffic_ptr> &gateway_path::services() const
{
    return m_directory.services();
}

const request_history &gateway_path::history() const
{
    return m_history;
}

asio::awaitable<http_response> gateway_path::answerQuestion(http_request &request)
{
    if (platform::isReadinessQuestion(request)) {
        const bool ready = !m_leaving && m_view->ready;
        co_return makeResponse(ready ? 200 : 503, "{}");
    }
    if (const auto question = platform::decodeAddressQuestion(request)) {
        co_return answerAddresses({question->zone, question->region});
    }
    co_return makeResponse(404, "{}");
}

http_response gateway_path::answerAddresses(const caller_place &place)
{
    const entry_advice advice = m_advisor.advise(m_view->readyMembers,
                                                 m_settings.zoneRegions,
                                                 place,
                                                 platform::mostAddresses,
                                                 m_settings.bounds.addressLifetime,
                                                 steady::now(),
                                                 m_random);
    if (advice.entries.empty()) {
        return makeResponse(503, "{}");
    }
    std::vector<std::string> addresses;
    for (const fleet_member &entry : advice.entries) {
        addresses.push_back(toString({entry.host, m_settings.traffic.port}));
    }
    return platform::encodeAddressAnswer(addresses, advice.lifetime);
}

http_response gateway_path::refuse(result_code code, milliseconds retryAfter) const
{
    const result_code_info &info = infoOf(code);
    const nlohmann::json body = {{"code", static_cast<int>(code)}, {"name", info.name}, {"message", info.meaning}};
    http_response response = makeResponse(info.httpStatus, body.dump());
    constexpr unsigned unavailable = 503;
    if (info.httpStatus == unavailable) {
        platform::setRetryAfter(response, retryAfter);
    }
    return response;
}

http_response gateway_path::rejectUnread(result_code code) const
{
    log_line("request_rejected").add("code", static_cast<int>(code)).add("name", infoOf(code).name).warn();
    return refuse(code, unreadyPause);
}

http_response gateway_path::refuseUnsent(const http_request &request, result_code code) const
{
    log_line("request_refused")
        .add("id", platform::decodeCaller(request).requestId)
        .add("host", hostOf(request))
        .add("path", pathOf(request))
        .add("code", infoOf(code).name)
        .add("config", m_view->config->version)
        .add("leaving", m_leaving ? "true" : "false")
        .add("body_bytes_in_use", m_memory.used())
        .info();
    return refuse(code, unreadyPause);
}

std::string gateway_path::serviceFor(const traffic_rule &rule)
{
    if (rule.services.size() == 1) {
        return rule.services.front().service;
    }
    const auto position = m_splits.try_emplace(rule.name, rule.services, m_random).first;
    return position->second.next();
}

asio::awaitable<void> gateway_path::awaitTrustedView()
{
    while (m_viewSuspect()) {
        co_await sleepUntil(steady::now() + trustPoll);
    }
}

asio::awaitable<http_response> gateway_path::handle(http_request &request, http_session &session)
{
    const time_point arrival = steady::now();
    co_await awaitTrustedView();
    const std::uint64_t version = m_view->config->version;
    if (version == 0 || m_refusing) {
        co_return refuseUnsent(request, version == 0 ? result_code::view_stale : result_code::overloaded);
    }
    const traffic_rule_ptr rule = m_rules.find(hostOf(request), pathOf(request));
    if (!rule) {
        co_return refuseUnsent(request, result_code::route_unknown);
    }
    if (m_memory.isAbove(refusedAbove)) {
        co_return refuseUnsent(request, result_code::memory_short);
    }
    const count_guard inHand(m_requestsInHand);
    co_return co_await forward(request, session, rule, arrival);
}

void gateway_path::record(const request_forwarding &run,
                          const forwarding_outcome &outcome,
                          std::uint64_t configVersion,
                          const std::string &service,
                          double tookMs)
{
    const std::optional<load_report> load = run.lastLoad();
    const bool answered = outcome.code == result_code::ok;
    log_line line("request");
    line.add("id", run.request().id)
        .add("rule", run.request().rule->name)
        .add("config", configVersion)
        .add("service", service)
        .add("outcome", infoOf(outcome.code).name)
        .add("status", answered ? outcome.response.result_int() : infoOf(outcome.code).httpStatus)
        .add("attempts", run.attempts())
        .add("failed_attempts", run.failures())
        .add("backend", run.lastBackend())
        .add("probed", run.probed())
        .add("expected_ms", run.expectedMs())
        .add("took_ms", tookMs);
    if (load) {
        line.add("running", load->running).add("waiting", load->waiting).add("pace", load->pace);
    }
    if (!answered) {
        line.add("retry_after_ms", outcome.retryAfter.count());
    }
    line.info();
    run.request().service->metrics.requestEnded(outcome.code, tookMs);
    m_history.add({run.request().id, line.text()});
}

asio::awaitable<http_response>
gateway_path::forward(http_request &request, http_session &session, traffic_rule_ptr rule, time_point arrival)
{
    const platform::caller_request caller = platform::decodeCaller(request);
    const std::string service = serviceFor(*rule);
    const std::uint64_t version = m_view->config->version;
    forwarded_request forwarded;
    forwarded.service = m_directory.find(service);
    if (!forwarded.service) {
        co_return refuseUnsent(request, result_code::no_backend);
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
    forwarded.arrival = arrival;
    forwarded.deadline = arrival + std::min(rule->timeout, caller.patience.value_or(rule->timeout));
    const auto run = std::make_shared<request_forwarding>(m_forwarding, std::move(forwarded));
    forwarding_outcome outcome = co_await run->run(session);
    record(*run, outcome, version, service, toMilliseconds(steady::now() - arrival));
    if (outcome.code != result_code::ok) {
        co_return refuse(outcome.code, outcome.retryAfter);
    }
    session.holdUntilWritten(std::move(outcome.memory));
    removeHopByHopHeaders(outcome.response);
    outcome.response.prepare_payload();
    outcome.response.keep_alive(true);
    co_return std::move(outcome.response);
}

}
