/**
 * @file
 * Names of the HTTP headers with a special meaning, described in docs/PLATFORM.md, and helpers for headers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/http/httpconnection.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomdeck::headers {

/** On requests from callers and to backend servers: absolute deadline in Unix milliseconds. */
inline constexpr std::string_view deadline = "x-deadline-unix-ms";
/** On requests: number of earlier attempts, summed over this service and its callers in the call chain. */
inline constexpr std::string_view attempt = "x-retry-attempt";
/** On responses: a service further along the call chain has already retried. */
inline constexpr std::string_view retried = "x-retries-spent";
/** On responses of backend servers: number of requests that the server holds. */
inline constexpr std::string_view load = "x-load";
/** On responses of backend servers: "before-start" when the request was refused and did not run. */
inline constexpr std::string_view refused = "x-refused";
/** On responses of backend servers: "true" when the server is shutting down. */
inline constexpr std::string_view draining = "x-draining";
/** On responses to callers: outcome of the request. */
inline constexpr std::string_view outcome = "x-outcome";
/** On responses to callers: number of the result code. */
inline constexpr std::string_view resultCode = "x-result-code";
/** On responses to callers: name of the entry. */
inline constexpr std::string_view entry = "x-entry";
/** On responses to callers: trace ID. */
inline constexpr std::string_view traceId = "x-trace-id";
/** W3C trace context. */
inline constexpr std::string_view traceparent = "traceparent";

/** Value of header @p name; empty if the header is missing. */
std::string_view valueOf(const boost::beast::http::fields &fields, std::string_view name);

void set(boost::beast::http::fields &fields, std::string_view name, std::string_view value);

/** Value of header @p name as an integer; nothing if it is missing or not an integer. */
std::optional<std::int64_t> numberOf(const boost::beast::http::fields &fields, std::string_view name);

/** A W3C trace context. */
struct trace_context
{
    std::string traceId;
    std::string parentId;
    bool sampled = false;
};

/** Parses a traceparent header of version 00; nothing when it is malformed. */
std::optional<trace_context> parseTraceparent(std::string_view text);

/** @p digits random hexadecimal digits. */
std::string randomHex(random_source &random, std::size_t digits);

}
