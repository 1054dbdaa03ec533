/**
 * @file
 * Stand-in for the platform: the append-only log service and the VM list.
 *
 * Each port given is one way to reach the same streams. POST /control on a
 * port changes how that port behaves:
 *   {"mode": "ok" | "down" | "lose_answers", "delay_ms": N}
 * and, for all ports, {"compact": true} deletes the history of keyed topics,
 * {"retain": N} drops all but the last N records of each
 * stream, and {"vms": {...}} replaces the VM list.
 */
#include "keyedtopics.h"
#include "standinoptions.h"

#include "cardamomdeck/base/clock.h"
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
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>,
          listen,
          std::vector<std::string>({"127.0.0.1:9000"}),
          "IP:port to listen on, several.");

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds pollPeriod{2};
constexpr std::size_t recordsPerAnswer = 1000;

struct stored_stream
{
    std::uint64_t first = 1;
    std::deque<std::string> records;

    std::uint64_t next() const
    {
        return first + records.size();
    }
};

struct platform_state
{
    std::map<std::string, stored_stream> streams;
    json vms = {{"version", 0}, {"live", json::array()}, {"leaving", json::array()}};
    std::uint64_t appends = 0;
    keyed_topics keyed;
};

struct port_behaviour
{
    std::string mode = "ok";
    milliseconds delay{0};
};

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + "=");
    return position == std::string::npos ? 0 : std::stoull(target.substr(position + name.size() + 1));
}

/** One listening port over the shared streams. */
class platform_listener
{
public:
    platform_listener(asio::io_context &context, platform_state &state)
        : m_context(context)
        , m_state(state)
        , m_server(
              context.get_executor(),
              [this](http_request &request, http_exchange &session) { return handle(request, session); },
              standinOptions(4096))
    {
    }

    result_code listen(const socket_address &address)
    {
        return m_server.listen(address);
    }

private:
    asio::awaitable<http_response> handle(http_request &request, http_exchange &session)
    {
        const std::string target = std::string(request.target());
        if (target == "/control") {
            co_return control(request.body());
        }
        co_await sleep(m_behaviour.delay);
        if (m_behaviour.mode == "down") {
            session.abandon();
            co_return http_response();
        }
        if (target == "/vms") {
            co_return makeResponse(200, m_state.vms.dump());
        }
        if (auto answer = m_state.keyed.answer(request)) {
            if (m_behaviour.mode == "lose_answers") {
                session.abandon();
            }
            co_return std::move(*answer);
        }
        const std::string prefix = "/streams/";
        const std::string name = target.substr(prefix.size(), target.find('/', prefix.size()) - prefix.size());
        stored_stream &stream = m_state.streams[name];
        if (request.method() == http::verb::post) {
            co_return append(stream, request, session);
        }
        co_return co_await read(stream, target, session);
    }

    http_response append(stored_stream &stream, http_request &request, http_exchange &session)
    {
        ++m_state.appends;
        const std::uint64_t offset = stream.next();
        stream.records.push_back(request.body());
        if (m_behaviour.mode == "lose_answers") {
            session.abandon();
        }
        return makeResponse(200, json({{"offset", offset}}).dump());
    }

    asio::awaitable<http_response> read(stored_stream &stream, const std::string &target, http_exchange &session)
    {
        const std::uint64_t from = queryNumber(target, "from");
        const time_point deadline = steady::now() + milliseconds(queryNumber(target, "wait_ms"));
        while (from >= stream.next() && steady::now() < deadline) {
            co_await sleep(pollPeriod);
        }
        if (m_behaviour.mode == "down") {
            session.abandon();
            co_return http_response();
        }
        if (from < stream.first) {
            co_return makeResponse(410, json({{"first", stream.first}}).dump());
        }
        json records = json::array();
        for (std::uint64_t offset = from; offset < stream.next() && records.size() < recordsPerAnswer; ++offset) {
            records.push_back({{"offset", offset}, {"data", stream.records[offset - stream.first]}});
        }
        const std::uint64_t next = records.empty() ? stream.next() : from + records.size();
        // "next" is the end of the stream, also when not all records fit into the answer.
        const std::uint64_t end = std::max(next, stream.next());
        const json answer = {{"first", stream.first}, {"next", end}, {"records", records}};
        // Records are bytes; what is not text is replaced, as the protocol carries text only.
        co_return makeResponse(200, answer.dump(-1, ' ', false, json::error_handler_t::replace));
    }

    http_response control(const std::string &body)
    {
        const json wanted = json::parse(body, nullptr, false);
        if (!wanted.is_object()) {
            return makeResponse(400, "{}");
        }
        m_behaviour.mode = wanted.value("mode", m_behaviour.mode);
        m_behaviour.delay = milliseconds(wanted.value("delay_ms", m_behaviour.delay.count()));
        if (wanted.contains("vms")) {
            m_state.vms = wanted["vms"];
        }
        if (wanted.contains("retain")) {
            retain(wanted["retain"].get<std::size_t>());
        }
        if (wanted.value("compact", false)) {
            m_state.keyed.compact();
        }
        json ends = json::object();
        for (const auto &[name, stream] : m_state.streams) {
            ends[name] = {{"first", stream.first}, {"next", stream.next()}};
        }
        return makeResponse(
            200,
            json({{"appends", m_state.appends}, {"keyed_calls", m_state.keyed.calls()}, {"streams", ends}}).dump());
    }

    void retain(std::size_t count)
    {
        for (auto &[name, stream] : m_state.streams) {
            while (name != "snapshots" && stream.records.size() > count) {
                stream.records.pop_front();
                ++stream.first;
            }
        }
    }

    asio::awaitable<void> sleep(milliseconds span)
    {
        if (span.count() == 0) {
            co_return;
        }
        asio::steady_timer timer(m_context);
        timer.expires_at(steady::now() + span);
        co_await timer.async_wait(asTuple);
    }

    asio::io_context &m_context;
    platform_state &m_state;
    port_behaviour m_behaviour;
    http_server m_server;
};

int runStandIn(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    platform_state state;
    std::vector<std::unique_ptr<platform_listener>> ports;
    for (const std::string &text : absl::GetFlag(FLAGS_listen)) {
        const auto address = parseSocketAddress(text);
        ports.push_back(std::make_unique<platform_listener>(context, state));
        if (!address || ports.back()->listen(*address) != result_code::ok) {
            std::fprintf(stderr, "cannot listen on %s\n", text.c_str());
            return 3;
        }
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
