/**
 * @file
 * Stand-in for a backend server: executes requests in slots, queues the others
 * and counts the executions.
 *
 * GET /load returns the load, GET /counts returns the counters, GET /headers
 * returns the headers of the most recent requests, and POST /control changes
 * the behavior:
 *   {"mode": "ok" | "refuse" | "fail_fast" | "freeze" | "answer_late" |
 *             "unsealed" | "cut",
 *    "draining": bool, "service_ms": N, "queue": N, "late_ms": N,
 *    "leaving": bool, "retry_after": TEXT, "warmup_ms": N}
 * With "leaving" every response announces that the server leaves; "retry_after"
 * is the pause that each rejection asks for, empty for none. With "warmup_ms" it
 * is cold for this time from now on, and says so in its responses to /health.
 * Any other request waits for a slot, is executed for the service time, and is
 * recorded under its Attempt-Id or x-request-id.
 *
 * For entries on the users' platform it supports the headers of that platform:
 * it responds to /health, rejects requests for other instances, and adds a seal
 * to its responses.
 */
#include "standinoptions.h"

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/http/httpserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, name, "backend", "Name of this backend server, sent in responses.");
ABSL_FLAG(std::string, listen, "127.0.0.1:9100", "IP:port to listen on.");
ABSL_FLAG(std::uint32_t, slots, 2, "Requests executed concurrently.");
ABSL_FLAG(double, service_ms, 1.0, "Mean service time in milliseconds; exponentially distributed.");
ABSL_FLAG(std::uint32_t, queue, 1000, "Requests that may wait for a slot; more are refused.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the service times.");

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds slotPollPeriod{1};
constexpr milliseconds freezeDuration{600'000};
constexpr std::size_t maxRecordedHeaders = 1000;

/** Arrival of a request; with a pause if it was rejected with one. */
struct arrival
{
    std::string id;
    double atMs = 0;
    std::string retryAfter;
};

/** Backend server with slots and a queue. A queued request starts when a slot is free and is not abandoned before. */
class slot_backend
{
public:
    explicit slot_backend(asio::io_context &context)
        : m_context(context)
        , m_random(absl::GetFlag(FLAGS_seed))
        , m_serviceMs(absl::GetFlag(FLAGS_service_ms))
        , m_maxQueueLength(absl::GetFlag(FLAGS_queue))
        , m_server(
              context.get_executor(),
              [this](http_request &request, http_exchange &exchange) { return handle(request, exchange); },
              standinOptions(65'536))
    {
    }

    result_code listen(const socket_address &address)
    {
        return m_server.listen(address);
    }

private:
    asio::awaitable<http_response> handle(http_request &request, http_exchange &exchange)
    {
        http_response response = co_await respond(request, exchange);
        // As the servers of the platform do, returns the id in every response to a request.
        if (const auto attemptId = request["Attempt-Id"]; !attemptId.empty()) {
            response.set("Attempt-Id", attemptId);
        }
        co_return response;
    }

    asio::awaitable<http_response> respond(http_request &request, http_exchange &exchange)
    {
        const std::string target = std::string(request.target());
        if (target == "/control") {
            co_return control(request.body());
        }
        if (target == "/counts") {
            co_return counts();
        }
        if (target == "/headers") {
            co_return makeResponse(200, json(m_headers).dump(-1, ' ', false, json::error_handler_t::replace));
        }
        if (target == "/health") {
            ++m_probes;
            http_response response = makeResponse(m_draining ? 503 : 200, "{}");
            const auto warmupLeft = std::chrono::ceil<milliseconds>(m_coldUntil - steady::now());
            if (warmupLeft > milliseconds(0)) {
                response.set("Warmup-Ms", std::to_string(warmupLeft.count()));
            }
            co_return withServerHeaders(std::move(response));
        }
        const auto expected = request["Expect-Instance"];
        if (!expected.empty() && expected != absl::GetFlag(FLAGS_name)) {
            co_return withServerHeaders(makeResponse(421, "{}"));
        }
        if (target == "/load") {
            ++m_probes;
            co_return withServerHeaders(makeResponse(200, json({{"in_flight", m_inFlight}}).dump()));
        }
        co_return co_await execute(request, exchange);
    }

    /** Records the headers of @p request as a list of names and values. */
    void recordHeaders(const http_request &request)
    {
        json fields = json::array();
        for (const auto &field : request) {
            fields.push_back(json::array({std::string(field.name_string()), std::string(field.value())}));
        }
        m_headers.push_back(std::move(fields));
        if (m_headers.size() > maxRecordedHeaders) {
            m_headers.pop_front();
        }
    }

    asio::awaitable<http_response> execute(http_request &request, http_exchange &exchange)
    {
        recordHeaders(request);
        m_arrivals.push_back(
            {std::string(request["Attempt-Id"]), toMilliseconds(steady::now().time_since_epoch()), ""});
        if (steady::now() < m_coldUntil) {
            m_coldArrivals.push_back(m_arrivals.back().atMs);
        }
        if (m_mode == "fail_fast") {
            co_return withServerHeaders(makeResponse(500, "{}"));
        }
        if (m_mode == "refuse" || m_inFlight >= absl::GetFlag(FLAGS_slots) + m_maxQueueLength) {
            http_response response = makeResponse(503, "{}");
            response.set("x-refused", "before-start");
            response.set("Not-Executed", "1");
            if (!m_retryAfter.empty()) {
                response.set(http::field::retry_after, m_retryAfter);
                m_arrivals.back().retryAfter = m_retryAfter;
            }
            ++m_refusals;
            co_return withServerHeaders(std::move(response));
        }
        ++m_inFlight;
        const std::string attemptId = std::string(request["Attempt-Id"]);
        const std::string id = attemptId.empty() ? std::string(request["x-request-id"]) : attemptId;
        while (m_running >= absl::GetFlag(FLAGS_slots)) {
            co_await sleep(slotPollPeriod);
        }
        ++m_running;
        ++m_executionsById[id];
        ++m_started;
        const double serviceMs = -m_serviceMs * std::log(1.0 - randomUnit(m_random));
        co_await sleep(std::chrono::duration_cast<microseconds>(std::chrono::duration<double, std::milli>(serviceMs)));
        --m_running;
        if (m_mode == "freeze") {
            co_await sleep(freezeDuration);
        }
        if (m_mode == "answer_late") {
            co_await sleep(m_responseDelay);
        }
        --m_inFlight;
        ++m_finished;
        const json body = {{"backend", absl::GetFlag(FLAGS_name)}, {"id", id}, {"echo", request.body().size()}};
        http_response response = makeResponse(200, body.dump());
        response.set("Attempt-Id", id);
        if (m_mode != "unsealed") {
            response.set("Server-Seal", absl::GetFlag(FLAGS_name));
        }
        if (m_mode == "cut") {
            exchange.abandon();
        }
        co_return withServerHeaders(std::move(response));
    }

    http_response withServerHeaders(http_response response) const
    {
        response.set("x-load", std::to_string(m_inFlight));
        const std::uint32_t waiting = m_inFlight - std::min(m_inFlight, m_running);
        response.set("Server-Load",
                     std::to_string(m_running) + "," + std::to_string(waiting) + ","
                         + std::to_string(absl::GetFlag(FLAGS_slots)) + ",100");
        response.set("Instance-Id", absl::GetFlag(FLAGS_name));
        if (m_draining) {
            response.set("x-draining", "true");
        }
        if (m_leaving) {
            response.set("Server-Leaving", "1");
        }
        return response;
    }

    http_response control(const std::string &body)
    {
        const json command = json::parse(body, nullptr, false);
        if (!command.is_object()) {
            return makeResponse(400, "{}");
        }
        m_mode = command.value("mode", m_mode);
        m_draining = command.value("draining", m_draining);
        m_leaving = command.value("leaving", m_leaving);
        m_retryAfter = command.value("retry_after", m_retryAfter);
        m_serviceMs = command.value("service_ms", m_serviceMs);
        m_maxQueueLength = command.value("queue", m_maxQueueLength);
        m_responseDelay = milliseconds(command.value("late_ms", m_responseDelay.count()));
        if (command.contains("warmup_ms")) {
            m_coldUntil = steady::now() + milliseconds(command.value("warmup_ms", std::int64_t{0}));
        }
        return counts();
    }

    http_response counts() const
    {
        std::uint64_t duplicateIds = 0;
        json ids = json::array();
        json executionsById = json::object();
        for (const auto &[id, executions] : m_executionsById) {
            duplicateIds += executions > 1 && !id.empty() ? 1 : 0;
            ids.push_back(id);
            executionsById[id] = executions;
        }
        return makeResponse(200,
                            json({{"started", m_started},
                                  {"finished", m_finished},
                                  {"held", m_inFlight},
                                  {"doubled", duplicateIds},
                                  {"refusals", m_refusals},
                                  {"probes", m_probes},
                                  {"ids", ids},
                                  {"arrivals", arrivals()},
                                  {"cold_arrivals", m_coldArrivals},
                                  {"runs", executionsById}})
                                .dump());
    }

    /** Each arrival as [id, time in milliseconds of the monotonic clock, pause that its rejection asks for]. */
    json arrivals() const
    {
        json list = json::array();
        for (const arrival &item : m_arrivals) {
            list.push_back(json::array({item.id, item.atMs, item.retryAfter}));
        }
        return list;
    }

    template<typename duration>
    asio::awaitable<void> sleep(duration waitTime)
    {
        asio::steady_timer timer(m_context);
        timer.expires_at(steady::now() + waitTime);
        co_await timer.async_wait(asTuple);
    }

    asio::io_context &m_context;
    random_source m_random;
    double m_serviceMs;
    std::uint32_t m_maxQueueLength;
    std::string m_mode = "ok";
    bool m_draining = false;
    bool m_leaving = false;
    std::string m_retryAfter;
    milliseconds m_responseDelay{0};
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_running = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_probes = 0;
    std::map<std::string, std::uint32_t> m_executionsById;
    /** All requests, including rejected ones, in the order of their arrival. */
    std::vector<arrival> m_arrivals;
    std::deque<json> m_headers;
    time_point m_coldUntil;
    /** Times of the requests that arrived while the server was cold, in milliseconds of the monotonic clock. */
    std::vector<double> m_coldArrivals;
    http_server m_server;
};

int runStandIn(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    slot_backend backend(context);
    const auto address = parseSocketAddress(absl::GetFlag(FLAGS_listen));
    if (!address || backend.listen(*address) != result_code::ok) {
        std::fprintf(stderr, "cannot listen on %s\n", absl::GetFlag(FLAGS_listen).c_str());
        return 3;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    context.run();
    return 0;
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::runStandIn(argc, argv);
}
