/**
 * @file
 * Open-loop load generator: sends requests at a fixed mean rate over persistent connections and prints the latencies
 * as JSON.
 */
#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/http/httpconnection.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, targets, {}, "Comma-separated list of IP:port; requests are sent to them in turn.");
ABSL_FLAG(std::string, path, "/", "Path of each request.");
ABSL_FLAG(std::string, method, "GET", "Method of each request.");
ABSL_FLAG(double, rate, 1000, "Mean number of requests per second; arrivals are a Poisson process.");
ABSL_FLAG(std::uint32_t, connections, 32, "Maximum number of idle connections kept to each target.");
ABSL_FLAG(double, seconds, 5, "Duration of the run in seconds.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random arrival times.");

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds requestTimeout{5000};

/** A request with its scheduled send time. */
struct scheduled_request
{
    time_point scheduledAt;
    socket_address target;
};

/**
 * Sends the requests and collects the results.
 *
 * Latencies are measured from the scheduled send time of a request, so that a slow target cannot distort them
 * (coordinated omission).
 */
class load_generator
{
public:
    explicit load_generator(asio::io_context &context)
        : m_context(context)
        , m_random(absl::GetFlag(FLAGS_seed))
    {
        for (const std::string &text : absl::GetFlag(FLAGS_targets)) {
            if (const auto address = parseSocketAddress(text)) {
                m_targets.push_back(*address);
            }
        }
    }

    bool hasTargets() const
    {
        return !m_targets.empty();
    }

    asio::awaitable<void> run()
    {
        asio::steady_timer timer(m_context);
        const time_point start = steady::now();
        const auto runDuration = std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds));
        const time_point end = start + std::chrono::duration_cast<nanoseconds>(runDuration);
        time_point scheduledAt = start;
        std::size_t requestCount = 0;
        while (scheduledAt < end) {
            const double intervalSeconds = -std::log(1.0 - randomUnit(m_random)) / absl::GetFlag(FLAGS_rate);
            scheduledAt += std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(intervalSeconds));
            timer.expires_at(scheduledAt);
            co_await timer.async_wait(asTuple);
            startRequest({scheduledAt, m_targets[requestCount++ % m_targets.size()]});
        }
        while (m_inFlight > 0) {
            timer.expires_at(steady::now() + milliseconds(10));
            co_await timer.async_wait(asTuple);
        }
    }

    void print()
    {
        nlohmann::json report = nlohmann::json::object();
        for (auto &[target, results] : m_results) {
            report[toString(target)] = summarize(results);
        }
        std::printf("%s\n", report.dump().c_str());
    }

private:
    /** Latencies and HTTP status codes of the requests to one target. */
    struct target_results
    {
        std::vector<double> latenciesMs;
        std::map<unsigned, std::uint64_t> statuses;
    };

    static nlohmann::json summarize(target_results &results)
    {
        std::vector<double> &latencies = results.latenciesMs;
        std::ranges::sort(latencies);
        nlohmann::json report = {{"requests", latencies.size()}, {"statuses", nlohmann::json::object()}};
        for (const auto &[status, count] : results.statuses) {
            report["statuses"][std::to_string(status)] = count;
        }
        for (const double quantile : {0.5, 0.9, 0.99, 0.999}) {
            char name[16];
            std::snprintf(name, sizeof name, "p%g", quantile * 100);
            const auto index = static_cast<std::size_t>(quantile * static_cast<double>(latencies.size()));
            report[name] = latencies.empty() ? 0.0 : latencies[std::min(index, latencies.size() - 1)];
        }
        return report;
    }

    void startRequest(scheduled_request request)
    {
        ++m_inFlight;
        asio::co_spawn(
            m_context, [this, request]() -> asio::awaitable<void> { co_await send(request); }, asio::detached);
    }

    asio::awaitable<void> send(scheduled_request request)
    {
        std::deque<std::unique_ptr<http_connection>> &idle = m_idle[request.target];
        std::unique_ptr<http_connection> connection;
        while (!idle.empty() && !connection) {
            connection = std::move(idle.front());
            idle.pop_front();
            if (!connection->isReusable()) {
                connection.reset();
            }
        }
        const time_point deadline = request.scheduledAt + requestTimeout;
        if (!connection) {
            connection = std::make_unique<http_connection>(m_context.get_executor());
            const result_code code = co_await connection->connect(request.target, deadline);
            if (code != result_code::ok) {
                recordResult(request, 0);
                co_return;
            }
        }
        constexpr unsigned httpVersion = 11;
        http_request message(http::string_to_verb(absl::GetFlag(FLAGS_method)), absl::GetFlag(FLAGS_path), httpVersion);
        message.set(http::field::host, toString(request.target));
        message.prepare_payload();
        const exchange_result result = co_await connection->exchange(std::move(message), message_limits(), deadline);
        recordResult(request, result.code == result_code::ok ? result.response.result_int() : 0);
        if (idle.size() < absl::GetFlag(FLAGS_connections)) {
            idle.push_back(std::move(connection));
        }
    }

    /** Records the end of a request; status 0 means that no response was received. */
    void recordResult(const scheduled_request &request, unsigned status)
    {
        --m_inFlight;
        target_results &results = m_results[request.target];
        ++results.statuses[status];
        results.latenciesMs.push_back(toMilliseconds(steady::now() - request.scheduledAt));
    }

    asio::io_context &m_context;
    random_source m_random;
    std::vector<socket_address> m_targets;
    std::map<socket_address, std::deque<std::unique_ptr<http_connection>>> m_idle;
    std::map<socket_address, target_results> m_results;
    std::uint64_t m_inFlight = 0;
};

int runLoadGenerator(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    load_generator generator(context);
    if (!generator.hasTargets()) {
        std::fputs("--targets must contain at least one valid IP:port\n", stderr);
        return 2;
    }
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { co_await generator.run(); }, asio::detached);
    context.run();
    generator.print();
    return 0;
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::runLoadGenerator(argc, argv);
}
