/**
 * @file
 * Recorded traces: requests of callers and the behavior of backend servers.
 *
 * A trace is encoded as JSON lines. The first line is an object with the deployment;
 * each further line is an array:
 *   ["r", at_us, entry, work_us, idempotent]       a request arrives at an entry
 *   ["b", at_us, backend, slowness, mode]          the behavior of a backend server changes
 * Times are microseconds since the start of the trace, in ascending order within each kind of event.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Deployment in which a trace is replayed. */
struct trace_deployment
{
    std::string name;
    std::uint32_t entries = 0;
    std::uint32_t backends = 0;
    std::uint32_t slots = 0;
    std::uint32_t zones = 1;
    /** One-way network delay between two availability zones, and within one. */
    microseconds crossZoneDelay{0};
    microseconds sameZoneDelay{0};
    /** Time to open a connection, in addition to the network delay. */
    microseconds connectTime{1000};
    /** Age of the load that responses and probes report. */
    microseconds reportDelay{0};
    /** Queue length limit of a backend server; further requests are refused before they start. */
    std::uint32_t maxQueueLength = 0;

    bool operator==(const trace_deployment &) const = default;
};

/** A recorded request. */
struct trace_request
{
    microseconds at{0};
    std::uint32_t entry = 0;
    /** Time in a slot at a slowdown factor of 1. */
    microseconds serviceTime{0};
    bool idempotent = false;

    bool operator==(const trace_request &) const = default;
};

/** Behavior of a backend server. */
enum class backend_mode {
    serve, /**< Runs each request in a slot. */
    fail_fast, /**< Responds to each request at once with a server failure. */
    misreport, /**< Runs requests, but always reports a load of 0. */
};

/** Change of the speed or the mode of a backend server, in effect until its next change. */
struct trace_backend_change
{
    microseconds at{0};
    std::uint32_t backend = 0;
    /** Factor on the service time. */
    double slowdownFactor = 1.0;
    backend_mode mode = backend_mode::serve;

    bool operator==(const trace_backend_change &) const = default;
};

/** A trace: the deployment, the requests and the changes of backend servers. */
struct recorded_trace
{
    trace_deployment deployment;
    std::vector<trace_request> requests;
    std::vector<trace_backend_change> changes;

    bool operator==(const recorded_trace &) const = default;
};

/** Encodes @p trace as JSON lines. */
std::string encodeTrace(const recorded_trace &trace);

/** Decodes a trace. Errors: record_corrupt; the detail contains the number of the invalid line. */
boost::leaf::result<recorded_trace> decodeTrace(const std::string &text);

}
