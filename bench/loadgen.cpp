/**
 * @file
 * Sends requests at a fixed mean rate over kept connections and prints the latencies as JSON.
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

ABSL_FLAG(std::vector<std::string>, targets, {}, "IP:port to send to, several; taken in turn.");
ABSL_FLAG(std::string, path, "/", "Path of each request.");
ABSL_FLAG(std::string, method, "GET", "Method of each request.");
ABSL_FLAG(double, rate, 1000, "Mean requests per second; arrivals are a Poisson process.");
ABSL_FLAG(std::uint32_t, connections, 32, "Kept connections to each target.");
ABSL_FLAG(double, seconds, 5, "Length of the run in seconds.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the arrivals.");

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds requestTimeout{5000};

/** A request that is due, or under way. */
struct scheduled_request
{
    time_point due;
    socket_address target;
};

/** Latencies run from the time at which a request was due, so that a slow target cannot slow the clock. */
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
        const auto length = std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds));
        const time_point end = start + std::chrono::duration_cast<nanoseconds>(length);
        time_point due = start;
        std::size_t turn = 0;
        while (due < end) {
            const double gap = -std::log(1.0 - randomUnit(m_random)) / absl::GetFlag(FLAGS_rate);
            due += std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(gap));
            timer.expires_at(due);
            co_await timer.async_wait(asTuple);
            startOne({due, m_targets[turn++ % m_targets.size()]});
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
            report[toString(target)] = describe(results);
        }
        std::printf("%s\n", report.dump().c_str());
    }

private:
    /** What one target answered. */
    struct target_results
    {
        std::vector<double> latenciesMs;
        std::map<unsigned, std::uint64_t> statuses;
    };

    static nlohmann::json describe(target_results &results)
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

    void startOne(scheduled_request request)
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
        const time_point deadline = request.due + requestTimeout;
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

    /** Status 0 stands for a request without an answer. */
    void recordResult(const scheduled_request &request, unsigned status)
    {
        --m_inFlight;
        target_results &results = m_results[request.target];
        ++results.statuses[status];
        results.latenciesMs.push_back(toMilliseconds(steady::now() - request.due));
    }

    asio::io_context &m_context;
    random_source m_random;
    std::vector<socket_address> m_targets;
    std::map<socket_address, std::deque<std::unique_ptr<http_connection>>> m_idle;
    std::map<socket_address, target_results> m_results;
    std::uint64_t m_inFlight = 0;
};

int runGenerator(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    load_generator generator(context);
    if (!generator.hasTargets()) {
        std::fputs("--targets must name at least one IP:port\n", stderr);
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
    return cardamomdeck::runGenerator(argc, argv);
}
