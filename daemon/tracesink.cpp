#include "tracesink.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace cardamomdeck {

namespace {

constexpr std::size_t maxQueuedSpans = 16'384;
constexpr std::size_t maxRecentTraces = 2048;
constexpr milliseconds writePeriod{50};

}

trace_sink::trace_sink(std::string entry, const std::string &file)
    : m_entry(std::move(entry))
    , m_ring(maxQueuedSpans)
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
    }
    m_thread = std::thread([this] { run(); });
}

trace_sink::~trace_sink()
{
    m_stopping = true;
    m_thread.join();
}

void trace_sink::record(trace_span span)
{
    m_ring.push(std::move(span));
}

std::uint64_t trace_sink::dropped() const
{
    return m_ring.dropped();
}

std::string trace_sink::traceAsJson(const std::string &traceId) const
{
    const std::scoped_lock lock(m_recentMutex);
    const auto found = m_recentTraces.find(traceId);
    std::string text = "[";
    if (found != m_recentTraces.end()) {
        for (const std::string &span : found->second) {
            text += text.size() > 1 ? "," + span : span;
        }
    }
    return text + "]";
}

void trace_sink::run()
{
    while (!m_stopping) {
        trace_span span;
        bool storedAny = false;
        while (m_ring.pop(span)) {
            store(span);
            storedAny = true;
        }
        if (storedAny && m_file.is_open()) {
            m_file.flush();
        }
        std::this_thread::sleep_for(writePeriod);
    }
}

void trace_sink::store(const trace_span &span)
{
    const std::string text = encode(span);
    if (m_file.is_open()) {
        m_file << text << '\n';
    }
    const std::scoped_lock lock(m_recentMutex);
    auto [trace, added] = m_recentTraces.try_emplace(span.traceId);
    trace->second.push_back(text);
    if (added) {
        m_recentOrder.push_back(span.traceId);
    }
    if (m_recentOrder.size() > maxRecentTraces) {
        m_recentTraces.erase(m_recentOrder.front());
        m_recentOrder.pop_front();
    }
}

std::string trace_sink::encode(const trace_span &span) const
{
    nlohmann::json tags = nlohmann::json::object();
    for (const auto &[key, value] : span.tags) {
        tags[key] = value;
    }
    nlohmann::json encoded = {{"traceId", span.traceId},
                              {"id", span.spanId},
                              {"name", span.name},
                              {"timestamp", span.startUnixUs},
                              {"duration", span.endUnixUs - span.startUnixUs},
                              {"localEndpoint", {{"serviceName", m_entry}}},
                              {"tags", tags}};
    if (!span.parentId.empty()) {
        encoded["parentId"] = span.parentId;
    }
    return encoded.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
