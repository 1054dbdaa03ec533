/**
 * @file
 * Headers with a meaning of their own; docs/PLATFORM.md describes each.
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

/** Absolute deadline in Unix milliseconds, from callers and to back ends. */
inline constexpr std::string_view deadline = "x-deadline-unix-ms";
/** Number of earlier attempts of the request, at this level and those above. */
inline constexpr std::string_view attempt = "x-retry-attempt";
/** On answers: a level below has retried already. */
inline constexpr std::string_view retried = "x-retries-spent";
/** On answers of back ends: requests that the back end holds. */
inline constexpr std::string_view load = "x-load";
/** On answers of back ends: "before-start" when the request was refused and did not run. */
inline constexpr std::string_view refused = "x-refused";
/** On answers of back ends: "true" when the back end is shutting down. */
inline constexpr std::string_view draining = "x-draining";
/** On answers to callers: what is known of the request. */
inline constexpr std::string_view outcome = "x-outcome";
/** On answers to callers: number of the result code. */
inline constexpr std::string_view resultCode = "x-result-code";
/** On answers to callers: name of the entry. */
inline constexpr std::string_view entry = "x-entry";
/** On answers to callers: identity of the trace. */
inline constexpr std::string_view traceId = "x-trace-id";
/** W3C trace context. */
inline constexpr std::string_view traceparent = "traceparent";

/** Value of header @p name, or an empty text. */
std::string_view valueOf(const boost::beast::http::fields &fields, std::string_view name);

/** Sets header @p name. */
void set(boost::beast::http::fields &fields, std::string_view name, std::string_view value);

/** Header @p name as a whole number, if it is one. */
std::optional<std::int64_t> numberOf(const boost::beast::http::fields &fields, std::string_view name);

/** A W3C trace context. */
struct trace_context
{
    std::string traceId;
    std::string parentId;
    bool sampled = false;
};

/** Reads a version 00 traceparent; nothing when it is malformed. */
std::optional<trace_context> parseTraceparent(std::string_view text);

/** @p digits random hexadecimal digits. */
std::string randomHex(random_source &random, std::size_t digits);

}
