#include "resourceapi.h"

#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/asynctools.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <optional>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/** Maximum time until a change request is answered. */
constexpr milliseconds changeTimeout{5'000};

/** Timeout of one append, and of the wait for its record after a failed append. */
constexpr milliseconds appendTimeout{1'000};

/** Interval of the checks for a pending change. */
constexpr milliseconds changePollInterval{2};

constexpr milliseconds watchPollInterval{10};
constexpr milliseconds maxWatchWait{30'000};

/** Maximum time that a request waits for a trace that is not available yet. */
constexpr milliseconds maxTraceWait{300};

constexpr std::string_view emptyTrace = "[]";

constexpr unsigned statusOk = 200;

http_response errorResponse(result_code code, const std::string &detail)
{
    const result_code_info &info = infoOf(code);
    const json body
        = {{"code", static_cast<int>(code)}, {"name", info.name}, {"message", info.meaning}, {"detail", detail}};
    return makeResponse(info.httpStatus, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto slash = std::min(path.find('/'), path.size());
        if (slash > 0) {
            parts.emplace_back(path.substr(0, slash));
        }
        path.remove_prefix(slash);
    }
    return parts;
}

json makeCondition(const char *type,
                   bool conditionMet,
                   const std::string &reason,
                   const std::vector<std::string> &waitingFor)
{
    return {{"type", type}, {"status", conditionMet}, {"reason", reason}, {"waiting_for", waitingFor}};
}

json describeStatuses(const std::vector<backend_status> *statuses)
{
    json described = json::array();
    if (statuses == nullptr) {
        return described;
    }
    for (const backend_status &backend : *statuses) {
        described.push_back({{"name", backend.name},
                             {"service", backend.service},
                             {"in_flight", backend.inFlight},
                             {"state", backend.state},
                             {"failure_streak", backend.consecutiveFailures}});
    }
    return described;
}

double processCpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

}

/** A request with its parsed target and headers. */
struct resource_api::api_request
{
    explicit api_request(const http_request &received)
        : method(received.method())
        , body(received.body())
    {
        const auto rawTarget = received.target();
        const std::string_view target(rawTarget.data(), rawTarget.size());
        const auto queryStart = std::min(target.find('?'), target.size());
        path = splitPath(target.substr(0, queryStart));
        query = target.substr(std::min(queryStart + 1, target.size()));
        const auto match = received[http::field::if_match];
        ifMatch = std::string(match.data(), match.size());
        const auto id = received["x-change-id"];
        changeId = std::string(id.data(), id.size());
    }

    /** Value of the query parameter @p name as a number; 0 if it is missing or not a number. */
    std::uint64_t queryNumber(std::string_view name) const
    {
        std::string_view rest = query;
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const std::string_view pair = rest.substr(0, end);
            if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
                return parseNumber(pair.substr(name.size() + 1)).value_or(0);
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
        return 0;
    }

    http::verb method;
    std::vector<std::string> path;
    std::string query;
    std::string body;
    std::string ifMatch;
    std::string changeId;
};

namespace {

server_options apiOptions()
{
    constexpr std::size_t maxApiConnections = 1024;
    server_options options;
    options.maxConnections = maxApiConnections;
    options.makeRejection = [](result_code code) {
        return errorResponse(code, "");
    };
    return options;
}

}

resource_api::resource_api(asio::io_context &context,
                           const entry_settings &settings,
                           control_state &state,
                           config_log_client &configLogClient,
                           peer_exchange &exchange,
                           trace_sink &traces)
    : m_settings(settings)
    , m_state(state)
    , m_configLogClient(configLogClient)
    , m_exchange(exchange)
    , m_traces(traces)
    , m_server(
          context.get_executor(),
          [this](http_request &request, http_exchange &) { return handle(request); },
          apiOptions())
{
}

result_code resource_api::start()
{
    return m_server.listen(m_settings.api);
}

asio::awaitable<http_response> resource_api::handle(const http_request &received)
{
    const api_request request(received);
    const std::vector<std::string> &path = request.path;
    if (path.size() == 1 && path[0] == "metrics") {
        co_return makeResponse(statusOk, metrics(), "text/plain; version=0.0.4");
    }
    if (path.size() < 2 || path[0] != "v1") {
        co_return errorResponse(result_code::resource_unknown, "no such path");
    }
    if (path.size() == 2 && path[1] == "status") {
        co_return makeResponse(statusOk, status().dump());
    }
    if (path.size() == 2 && path[1] == "watch") {
        co_return co_await watch(request);
    }
    if (path.size() == 3 && path[1] == "traces") {
        co_return co_await handleTrace(path[2]);
    }
    if (path.size() == 3 && path[1] == "members" && request.method == http::verb::delete_) {
        co_return co_await evict(path[2]);
    }
    co_return co_await handleResources(request);
}

asio::awaitable<http_response> resource_api::handleTrace(std::string traceId)
{
    // The spans of a request that has just been answered may not have reached the trace sink yet.
    const time_point deadline = steady::now() + maxTraceWait;
    std::string trace = m_traces.traceAsJson(traceId);
    while (trace == emptyTrace && steady::now() < deadline) {
        co_await sleepUntil(steady::now() + watchPollInterval);
        trace = m_traces.traceAsJson(traceId);
    }
    co_return makeResponse(statusOk, trace);
}

asio::awaitable<http_response> resource_api::handleResources(const api_request &request)
{
    const auto kind = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<resource_kind>> {
            BOOST_LEAF_AUTO(parsedKind, resourceKindFromPath(request.path[1]));
            return parsedKind;
        },
        [] { return std::optional<resource_kind>(); });
    if (!kind || request.path.size() > 3) {
        co_return errorResponse(result_code::resource_unknown, "no such path");
    }
    if (request.path.size() == 2) {
        if (request.method != http::verb::get) {
            co_return errorResponse(result_code::method_unsupported, "a collection is read-only");
        }
        co_return list(*kind);
    }
    const resource_key key = {*kind, request.path[2]};
    switch (request.method) {
    case http::verb::get:
        co_return get(key);
    case http::verb::put:
        co_return co_await put(request, key);
    case http::verb::delete_:
        co_return co_await remove(request, key);
    default:
        co_return errorResponse(result_code::method_unsupported, "use GET, PUT or DELETE");
    }
}

asio::awaitable<http_response> resource_api::put(const api_request &request, resource_key key)
{
    std::string errorDetail;
    const json body = leaf::try_handle_all(
        [&]() -> leaf::result<json> {
            return normalizeResource(key.kind, key.name, json::parse(request.body, nullptr, false));
        },
        [&](const failure &error) {
            errorDetail = error.detail;
            return json();
        },
        [&] {
            errorDetail = "invalid resource";
            return json();
        });
    if (!errorDetail.empty()) {
        co_return errorResponse(result_code::resource_invalid, errorDetail);
    }
    put_change action = {key, parseNumber(request.ifMatch), body};
    if (!request.ifMatch.empty() && !action.expectedVersion) {
        co_return errorResponse(result_code::resource_invalid, "If-Match must be a resource version");
    }
    const std::string id = request.changeId.empty() ? m_configLogClient.newChangeId() : request.changeId;
    config_change change = {id, std::move(action)};
    co_return co_await submit(std::move(change));
}

asio::awaitable<http_response> resource_api::remove(const api_request &request, resource_key key)
{
    delete_change action = {key, parseNumber(request.ifMatch)};
    if (!request.ifMatch.empty() && !action.expectedVersion) {
        co_return errorResponse(result_code::resource_invalid, "If-Match must be a resource version");
    }
    const std::string id = request.changeId.empty() ? m_configLogClient.newChangeId() : request.changeId;
    config_change change = {id, std::move(action)};
    co_return co_await submit(std::move(change));
}

asio::awaitable<http_response> resource_api::evict(std::string name)
{
    const auto found = m_state.config().members().find(name);
    if (found == m_state.config().members().end()) {
        co_return errorResponse(result_code::resource_unknown, "no such member");
    }
    leave_change action = {name, found->second.incarnation, m_state.config().membershipVersion()};
    config_change change = {m_configLogClient.newChangeId(), std::move(action)};
    co_return co_await submit(std::move(change));
}

asio::awaitable<http_response> resource_api::submit(config_change change)
{
    const std::string id = change.id;
    const time_point deadline = steady::now() + changeTimeout;
    bool appended = false;
    // The change id makes the append idempotent: it can be retried when the response to the first one is lost.
    while (!appended && !m_state.config().resultOf(id) && steady::now() < deadline) {
        const result_code code
            = co_await m_configLogClient.append(change, std::min(deadline, steady::now() + appendTimeout));
        appended = code == result_code::ok;
        if (!appended) {
            co_await waitUntilApplied(id, std::min(deadline, steady::now() + appendTimeout));
        }
    }
    co_await waitUntilApplied(id, deadline);
    const auto applyResult = m_state.config().resultOf(id);
    if (!applyResult) {
        log_line("change_unresolved").add("id", id).warn();
        co_return errorResponse(result_code::change_pending, "the log service did not confirm change " + id);
    }
    if (applyResult->code != result_code::ok) {
        co_return errorResponse(applyResult->code, applyResult->detail);
    }
    while (!m_state.peers().acceptedAt(applyResult->offset) && steady::now() < deadline) {
        co_await sleepUntil(steady::now() + changePollInterval);
    }
    const bool accepted = m_state.peers().acceptedAt(applyResult->offset).has_value();
    const json body = {{"change_id", id},
                       {"version", applyResult->offset},
                       {"accepted", accepted},
                       {"waiting_for", m_state.peers().laggingMembers(applyResult->offset)}};
    log_line("change_answered")
        .add("id", id)
        .add("offset", applyResult->offset)
        .add("accepted", accepted ? 1 : 0)
        .info();
    co_return makeResponse(accepted ? statusOk : infoOf(result_code::change_pending).httpStatus, body.dump());
}

asio::awaitable<void> resource_api::waitUntilApplied(const std::string &id, time_point deadline)
{
    while (!m_state.config().resultOf(id) && steady::now() < deadline) {
        co_await sleepUntil(steady::now() + changePollInterval);
    }
}

asio::awaitable<http_response> resource_api::watch(const api_request &request)
{
    const log_offset from = request.queryNumber("from");
    const milliseconds wait = std::min(milliseconds(request.queryNumber("wait_ms")), maxWatchWait);
    const time_point deadline = steady::now() + wait;
    while (m_state.config().appliedOffset() <= from && steady::now() < deadline) {
        co_await sleepUntil(std::min(deadline, steady::now() + watchPollInterval));
    }
    // A watcher finds deleted resources by comparing "names" with the names that it has.
    json changed = json::array();
    json names = json::array();
    for (const auto &[key, stored] : m_state.config().resources()) {
        names.push_back(std::string(pathSegment(key.kind)) + "/" + key.name);
        if (stored.version > from) {
            changed.push_back(describe(key, stored));
        }
    }
    const json body = {{"version", m_state.config().appliedOffset()}, {"changed", changed}, {"names", names}};
    co_return makeResponse(statusOk, body.dump());
}

http_response resource_api::list(resource_kind kind) const
{
    json items = json::array();
    for (const auto &[key, stored] : m_state.config().resources()) {
        if (key.kind == kind) {
            items.push_back(describe(key, stored));
        }
    }
    return makeResponse(statusOk, json({{"version", m_state.config().appliedOffset()}, {"items", items}}).dump());
}

http_response resource_api::get(const resource_key &key) const
{
    const auto found = m_state.config().resources().find(key);
    if (found == m_state.config().resources().end()) {
        return errorResponse(result_code::resource_unknown, std::string(pathSegment(key.kind)) + "/" + key.name);
    }
    http_response response = makeResponse(statusOk, describe(key, found->second).dump());
    response.set(http::field::etag, std::to_string(found->second.version));
    return response;
}

json resource_api::describe(const resource_key &key, const stored_resource &stored) const
{
    json observed = json::object();
    for (const auto &[name, member] : m_state.config().members()) {
        observed[name] = m_state.peers().installedOffset(name);
    }
    return {{"kind", pathSegment(key.kind)},
            {"name", key.name},
            {"version", stored.version},
            {"generation", stored.generation},
            {"spec", stored.body},
            {"status", {{"observed", observed}, {"conditions", conditionsOf(key, stored)}}}};
}

json resource_api::conditionsOf(const resource_key &key, const stored_resource &stored) const
{
    const peer_table &peers = m_state.peers();
    const bool accepted = peers.acceptedAt(stored.version).has_value();
    const bool propagated = peers.propagatedOffset(steady::now()) >= stored.version;
    const auto lagging = peers.laggingMembers(stored.version);
    json conditions = json::array();
    conditions.push_back(makeCondition("accepted",
                                       accepted,
                                       accepted ? "installed by a majority of the entries" : "waiting for a majority",
                                       accepted ? std::vector<std::string>() : lagging));
    conditions.push_back(makeCondition("in_force_everywhere",
                                       propagated,
                                       lagging.empty()
                                           ? "installed by all entries"
                                           : "waiting for entries to install it or for their leases to expire",
                                       propagated ? std::vector<std::string>() : lagging));
    if (key.kind != resource_kind::backend) {
        return conditions;
    }
    const auto shuttingDown = m_state.shuttingDownBackends();
    const auto source = shuttingDown.find(key.name);
    const bool drainingByOperator = stored.body.value("draining", false);
    const bool draining = drainingByOperator || source != shuttingDown.end();
    conditions.push_back(makeCondition(
        "draining", draining, drainingByOperator ? "operator" : (draining ? source->second : "not draining"), {}));
    if (drainingByOperator) {
        const auto blockers = m_state.drainBlockers(key.name, stored.version);
        conditions.push_back(makeCondition("drained",
                                           blockers.empty(),
                                           blockers.empty() ? "no entry can have a request in progress"
                                                            : "entries may have requests in progress",
                                           blockers));
    }
    return conditions;
}

json resource_api::status() const
{
    const time_point now = steady::now();
    json members = json::array();
    for (const auto &[name, member] : m_state.config().members()) {
        const peer_state *const peer = m_state.peers().peer(name);
        const double msSinceContact = peer == nullptr ? -1.0 : toMilliseconds(now - peer->lastContactAt);
        members.push_back({{"name", name},
                           {"zone", member.zone},
                           {"traffic", toString(member.trafficAddress)},
                           {"api", toString(member.apiAddress)},
                           {"installed", m_state.peers().installedOffset(name)},
                           {"silent_ms", name == m_state.self().name ? 0.0 : msSinceContact}});
    }
    const json backends = describeStatuses(m_state.report().backends.get());
    const double leaseLeftMs = std::clamp(toMilliseconds(m_state.peers().leaseExpiresAt() - now), -1e9, 1e9);
    return {{"entry", m_state.self().name},
            {"member", m_state.isMember()},
            {"applied", m_state.config().appliedOffset()},
            {"installed", m_state.report().installed},
            {"accepted", m_state.peers().acceptedOffset()},
            {"in_force", m_state.peers().propagatedOffset(now)},
            {"lease_left_ms", leaseLeftMs},
            {"store_reachable", m_state.isLogServiceReachable()},
            {"requests_in_flight", m_state.report().requestsInFlight},
            {"leaving", m_state.isShuttingDown()},
            {"members", members},
            {"backends", backends},
            {"leaving_backends", m_state.shuttingDownBackends()}};
}

std::string resource_api::metrics() const
{
    std::string text = m_state.report().metrics;
    const double leaseSeconds
        = std::clamp(toMilliseconds(m_state.peers().leaseExpiresAt() - steady::now()) / 1e3, -1e6, 1e6);
    appendMetric(text, "config_offset", "", static_cast<double>(m_state.config().appliedOffset()));
    appendMetric(text, "config_lease_seconds", "", leaseSeconds);
    appendMetric(text, "store_reachable", "", m_state.isLogServiceReachable() ? 1 : 0);
    appendMetric(text, "peer_bytes_total", "", static_cast<double>(m_exchange.bytes()));
    appendMetric(text, "process_cpu_seconds_total", "", processCpuSeconds());
    return text;
}

}
