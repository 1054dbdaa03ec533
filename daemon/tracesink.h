/**
 * @file
 * Writes spans on a thread of its own.
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

/** One hop of a request. */
struct trace_span
{
    /** 32, 16 and 16 hexadecimal digits; the parent may be empty. */
    std::string traceId;
    std::string spanId;
    std::string parentId;
    std::string name;
    std::int64_t startUnixUs = 0;
    std::int64_t endUnixUs = 0;
    std::vector<std::pair<std::string, std::string>> tags;

    bool operator==(const trace_span &) const = default;
};

/** Takes spans through a bounded ring; drops and counts them when the writer is behind. */
class trace_sink
{
public:
    /** Writes to @p file, or only to memory when it is empty; spans name the entry @p entry. */
    trace_sink(std::string entry, const std::string &file);
    ~trace_sink();
    trace_sink(const trace_sink &) = delete;
    trace_sink &operator=(const trace_sink &) = delete;

    /** Hands over a span; call it from one thread only. */
    void record(trace_span span);

    /** Spans dropped so far. */
    std::uint64_t dropped() const;

    /** The spans of a recent trace as a Zipkin v2 JSON array; "[]" when the trace is not known. */
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
