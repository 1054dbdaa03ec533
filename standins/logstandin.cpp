/**
 * @file
 * Stand-in for the platform: the append-only log service and the VM list.
 *
 * All given ports serve the same streams. POST /control on a port changes the
 * behavior of that port:
 *   {"mode": "ok" | "down" | "lose_answers", "delay_ms": N}
 * For all ports, {"copy": true} keeps a copy of the keyed topics, {"restore": true}
 * returns to it and raises the era that responses tell, {"tell_era": false} leaves
 * the era out, {"compact": true} deletes the history of keyed topics,
 * {"retain": N} deletes all but the last N records of each stream except
 * "snapshots", and {"vms": {...}} replaces the VM list.
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
          "Comma-separated list of IP:port to listen on.");

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds pollPeriod{2};
constexpr std::size_t maxRecordsPerResponse = 1000;

struct stored_stream
{
    std::uint64_t startOffset = 1;
    std::deque<std::string> records;

    std::uint64_t endOffset() const
    {
        return startOffset + records.size();
    }
};

struct platform_state
{
    std::map<std::string, stored_stream> streams;
    json vms = {{"version", 0}, {"live", json::array()}, {"leaving", json::array()}};
    std::uint64_t appends = 0;
    keyed_topics keyedTopics;
};

struct port_behavior
{
    std::string mode = "ok";
    milliseconds delay{0};
};

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + "=");
    return position == std::string::npos ? 0 : std::stoull(target.substr(position + name.size() + 1));
}

/** One listening port; all ports share the streams. */
class platform_listener
{
public:
    platform_listener(asio::io_context &context, platform_state &state)
        : m_context(context)
        , m_state(state)
        , m_server(
              context.get_executor(),
              [this](http_request &request, http_exchange &exchange) { return handle(request, exchange); },
              standinOptions(4096))
    {
    }

    result_code listen(const socket_address &address)
    {
        return m_server.listen(address);
    }

private:
    asio::awaitable<http_response> handle(http_request &request, http_exchange &exchange)
    {
        const std::string target = std::string(request.target());
        if (target == "/control") {
            co_return control(request.body());
        }
        co_await sleep(m_behavior.delay);
        if (m_behavior.mode == "down") {
            exchange.abandon();
            co_return http_response();
        }
        if (target == "/vms") {
            co_return makeResponse(200, m_state.vms.dump());
        }
        if (auto response = m_state.keyedTopics.handleCall(request)) {
            if (m_behavior.mode == "lose_answers") {
                exchange.abandon();
            }
            co_return std::move(*response);
        }
        const std::string prefix = "/streams/";
        const std::string name = target.substr(prefix.size(), target.find('/', prefix.size()) - prefix.size());
        stored_stream &stream = m_state.streams[name];
        if (request.method() == http::verb::post) {
            co_return append(stream, request, exchange);
        }
        co_return co_await read(stream, target, exchange);
    }

    http_response append(stored_stream &stream, http_request &request, http_exchange &exchange)
    {
        ++m_state.appends;
        const std::uint64_t offset = stream.endOffset();
        stream.records.push_back(request.body());
        if (m_behavior.mode == "lose_answers") {
            exchange.abandon();
        }
        return makeResponse(200, json({{"offset", offset}}).dump());
    }

    asio::awaitable<http_response> read(stored_stream &stream, const std::string &target, http_exchange &exchange)
    {
        const std::uint64_t from = queryNumber(target, "from");
        const time_point deadline = steady::now() + milliseconds(queryNumber(target, "wait_ms"));
        while (from >= stream.endOffset() && steady::now() < deadline) {
            co_await sleep(pollPeriod);
        }
        if (m_behavior.mode == "down") {
            exchange.abandon();
            co_return http_response();
        }
        if (from < stream.startOffset) {
            co_return makeResponse(410, json({{"first", stream.startOffset}}).dump());
        }
        json records = json::array();
        for (std::uint64_t offset = from; offset < stream.endOffset() && records.size() < maxRecordsPerResponse;
             ++offset) {
            records.push_back({{"offset", offset}, {"data", stream.records[offset - stream.startOffset]}});
        }
        const std::uint64_t nextOffset = records.empty() ? stream.endOffset() : from + records.size();
        // "next" is the end offset of the stream, even if the response does not contain all records.
        const std::uint64_t streamEndOffset = std::max(nextOffset, stream.endOffset());
        const json response = {{"first", stream.startOffset}, {"next", streamEndOffset}, {"records", records}};
        // Records are bytes; invalid UTF-8 is replaced, because the protocol carries text only.
        co_return makeResponse(200, response.dump(-1, ' ', false, json::error_handler_t::replace));
    }

    http_response control(const std::string &body)
    {
        const json command = json::parse(body, nullptr, false);
        if (!command.is_object()) {
            return makeResponse(400, "{}");
        }
        m_behavior.mode = command.value("mode", m_behavior.mode);
        m_behavior.delay = milliseconds(command.value("delay_ms", m_behavior.delay.count()));
        if (command.contains("vms")) {
            m_state.vms = command["vms"];
        }
        if (command.contains("retain")) {
            retain(command["retain"].get<std::size_t>());
        }
        controlKeyedTopics(command);
        json offsets = json::object();
        for (const auto &[name, stream] : m_state.streams) {
            offsets[name] = {{"first", stream.startOffset}, {"next", stream.endOffset()}};
        }
        return makeResponse(
            200,
            json({{"appends", m_state.appends}, {"keyed_calls", m_state.keyedTopics.callCount()}, {"streams", offsets}})
                .dump());
    }

    void controlKeyedTopics(const json &command)
    {
        if (command.value("compact", false)) {
            m_state.keyedTopics.compact();
        }
        if (command.value("copy", false)) {
            m_state.keyedTopics.copy();
        }
        if (command.value("restore", false)) {
            m_state.keyedTopics.restore();
        }
        if (command.contains("tell_era")) {
            m_state.keyedTopics.setTellsEra(command["tell_era"].get<bool>());
        }
    }

    void retain(std::size_t count)
    {
        for (auto &[name, stream] : m_state.streams) {
            while (name != "snapshots" && stream.records.size() > count) {
                stream.records.pop_front();
                ++stream.startOffset;
            }
        }
    }

    asio::awaitable<void> sleep(milliseconds waitTime)
    {
        if (waitTime.count() == 0) {
            co_return;
        }
        asio::steady_timer timer(m_context);
        timer.expires_at(steady::now() + waitTime);
        co_await timer.async_wait(asTuple);
    }

    asio::io_context &m_context;
    platform_state &m_state;
    port_behavior m_behavior;
    http_server m_server;
};

int runStandIn(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    asio::io_context context(1);
    platform_state state;
    std::vector<std::unique_ptr<platform_listener>> listeners;
    for (const std::string &text : absl::GetFlag(FLAGS_listen)) {
        const auto address = parseSocketAddress(text);
        listeners.push_back(std::make_unique<platform_listener>(context, state));
        if (!address || listeners.back()->listen(*address) != result_code::ok) {
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
