/**
 * @file
 * Stores and writes trace spans on a separate thread.
 */
#pragma once

#include "cardamomdeck/base/boundedring.h"
#include "cardamomdeck/base/clock.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cardamomdeck {

/** A span of a trace: a request or one of its attempts. */
struct trace_span
{
    /** The IDs have 32, 16 and 16 hexadecimal digits; the parent ID may be empty. */
    std::string traceId;
    std::string spanId;
    std::string parentId;
    std::string name;
    std::int64_t startUnixUs = 0;
    std::int64_t endUnixUs = 0;
    std::vector<std::pair<std::string, std::string>> tags;

    bool operator==(const trace_span &) const = default;
};

/** Queues spans in a bounded ring for the writer thread; drops and counts spans when the ring is full. */
class trace_sink
{
public:
    /** Spans are appended to @p file, or only kept in memory if it is empty; @p entry is their service name. */
    trace_sink(std::string entry, const std::string &file);
    ~trace_sink();
    trace_sink(const trace_sink &) = delete;
    trace_sink &operator=(const trace_sink &) = delete;

    /** Queues a span for the writer thread; call it from one thread only. */
    void record(trace_span span);

    /** Number of spans dropped so far. */
    std::uint64_t dropped() const;

    /** The spans of a recent trace as a Zipkin v2 JSON array; "[]" when the trace is unknown. */
    std::string traceAsJson(const std::string &traceId) const;

private:
    void run();
    void store(const trace_span &span);
    std::string encode(const trace_span &span) const;

    std::string m_entry;
    std::ofstream m_file;
    bounded_ring<trace_span> m_ring;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_recentMutex;
    std::map<std::string, std::vector<std::string>> m_recentTraces;
    std::deque<std::string> m_recentOrder;
    std::thread m_thread;
};

}
