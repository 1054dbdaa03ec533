/**
 * @file
 * Recorded traces: what callers asked for and how back ends behaved.
 *
 * A trace is a text of JSON lines. The first is an object with the deployment;
 * each other is an array:
 *   ["r", at_us, entry, work_us, idempotent]       a request arrives at an entry
 *   ["b", at_us, backend, slowness, mode]          a back end changes
 * Times are microseconds since the start of the trace, in ascending order.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomdeck {

/** The machines of a trace. */
struct trace_deployment
{
    std::string name;
    std::uint32_t entries = 0;
    std::uint32_t backends = 0;
    std::uint32_t slots = 0;
    std::uint32_t zones = 1;
    /** One-way delay between two zones, and within one. */
    microseconds crossZoneDelay{0};
    microseconds sameZoneDelay{0};
    /** Time to open a connection, beyond the delay. */
    microseconds connectTime{1000};
    /** Age of the load that answers and probes report. */
    microseconds reportDelay{0};
    /** Requests that a back end lets wait; more are refused before they start. */
    std::uint32_t maxQueueLength = 0;

    bool operator==(const trace_deployment &) const = default;
};

/** A request as it was recorded. */
struct trace_request
{
    microseconds at{0};
    std::uint32_t entry = 0;
    /** Time in a slot when nothing slows the back end down. */
    microseconds serviceTime{0};
    bool idempotent = false;

    bool operator==(const trace_request &) const = default;
};

/** How a back end treats requests. */
enum class backend_mode {
    serve, /**< Runs each request in a slot. */
    fail_fast, /**< Answers each request at once with a server failure. */
    misreport, /**< Serves, but always reports that it is idle. */
};

/** From a moment on, a back end is slower or behaves differently. */
struct trace_backend_change
{
    microseconds at{0};
    std::uint32_t backend = 0;
    /** Factor by which work takes longer. */
    double slowdownFactor = 1.0;
    backend_mode mode = backend_mode::serve;

    bool operator==(const trace_backend_change &) const = default;
};

/** A whole trace. */
struct recorded_trace
{
    trace_deployment deployment;
    std::vector<trace_request> requests;
    std::vector<trace_backend_change> changes;

    bool operator==(const recorded_trace &) const = default;
};

/** The text form of @p trace. */
std::string encodeTrace(const recorded_trace &trace);

/** Errors: record_corrupt, with the number of the faulty line. */
boost::leaf::result<recorded_trace> decodeTrace(const std::string &text);

}
