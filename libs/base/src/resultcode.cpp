#include "cardamomdeck/base/resultcode.h"

#include <algorithm>
#include <array>

namespace cardamomdeck {

namespace {

constexpr auto codeTable = std::to_array<result_code_info>({
    {result_code::ok, "ok", outcome::answered, 200, "The operation succeeded."},
    {result_code::setting_invalid,
     "setting_invalid",
     outcome::not_run,
     500,
     "A flag or environment variable is invalid."},
    {result_code::port_in_use, "port_in_use", outcome::not_run, 500, "A listening port cannot be bound."},
    {result_code::resource_invalid, "resource_invalid", outcome::not_run, 400, "A resource failed validation."},
    {result_code::resource_unknown, "resource_unknown", outcome::not_run, 404, "No such resource."},
    {result_code::version_conflict,
     "version_conflict",
     outcome::not_run,
     409,
     "The resource was changed concurrently."},
    {result_code::record_corrupt, "record_corrupt", outcome::not_run, 500, "A log record cannot be decoded."},
    {result_code::record_unsupported, "record_unsupported", outcome::not_run, 500, "A log record has an unknown kind."},
    {result_code::store_unavailable, "store_unavailable", outcome::not_run, 503, "The log service does not respond."},
    {result_code::offset_expired, "offset_expired", outcome::not_run, 500, "The log no longer contains the offset."},
    {result_code::change_pending,
     "change_pending",
     outcome::unknown,
     202,
     "The change is not yet known to be accepted."},
    {result_code::method_unsupported, "method_unsupported", outcome::not_run, 405, "The resource has no such method."},
    {result_code::store_era_outdated,
     "store_era_outdated",
     outcome::not_run,
     503,
     "The era of the store in its response is invalid, or lower than one seen before."},
    {result_code::request_malformed, "request_malformed", outcome::not_run, 400, "The request is not valid HTTP."},
    {result_code::head_too_large, "head_too_large", outcome::not_run, 431, "The request header exceeds its limit."},
    {result_code::body_too_large, "body_too_large", outcome::not_run, 413, "The request body exceeds its limit."},
    {result_code::route_unknown, "route_unknown", outcome::not_run, 404, "No rule matches the request."},
    {result_code::no_backend, "no_backend", outcome::not_run, 503, "The service has no usable backend server."},
    {result_code::overloaded, "overloaded", outcome::not_run, 503, "The bounded queue of the service is full."},
    {result_code::deadline_unreachable,
     "deadline_unreachable",
     outcome::not_run,
     504,
     "The deadline passed before sending."},
    {result_code::view_stale, "view_stale", outcome::not_run, 503, "The entry cannot confirm its configuration."},
    {result_code::backend_refused,
     "backend_refused",
     outcome::not_run,
     503,
     "Backend servers refused the request before starting it."},
    {result_code::connect_failed,
     "connect_failed",
     outcome::not_run,
     503,
     "No connection to a backend server was established."},
    {result_code::memory_short, "memory_short", outcome::not_run, 503, "The memory for bodies is exhausted."},
    {result_code::request_incomplete,
     "request_incomplete",
     outcome::not_run,
     408,
     "The caller sent only part of a request."},
    {result_code::backends_withheld,
     "backends_withheld",
     outcome::not_run,
     503,
     "All backend servers are leaving, have asked for a pause, are cold, or are in an evacuated zone."},
    {result_code::key_unknown, "key_unknown", outcome::not_run, 401, "The request has no valid key of a workspace."},
    {result_code::quota_exceeded,
     "quota_exceeded",
     outcome::not_run,
     429,
     "The workspace has used up its quota in all entries together."},
    {result_code::deadline_passed,
     "deadline_passed",
     outcome::unknown,
     504,
     "No response arrived before the deadline."},
    {result_code::answer_cut, "answer_cut", outcome::unknown, 502, "The response was truncated."},
    {result_code::answer_malformed, "answer_malformed", outcome::unknown, 502, "The response is not valid HTTP."},
    {result_code::answer_too_large, "answer_too_large", outcome::unknown, 502, "The response exceeds its limit."},
    {result_code::connection_lost,
     "connection_lost",
     outcome::unknown,
     502,
     "The connection failed after sending began."},
    {result_code::caller_gone, "caller_gone", outcome::unknown, 499, "The caller closed its connection."},
    {result_code::internal_error, "internal_error", outcome::unknown, 502, "An unexpected error ended the handling."},
    {result_code::frame_malformed, "frame_malformed", outcome::not_run, 500, "A message between entries is invalid."},
    {result_code::frame_too_large, "frame_too_large", outcome::not_run, 500, "A message between entries is too large."},
    {result_code::base_unknown, "base_unknown", outcome::not_run, 500, "A change is based on an unknown version."},
    {result_code::leaving_invalid,
     "leaving_invalid",
     outcome::not_run,
     500,
     "A server's announcement that it leaves cannot be decoded; it is ignored."},
    {result_code::pause_invalid,
     "pause_invalid",
     outcome::not_run,
     500,
     "The pause that a server asks for cannot be decoded; it is ignored."},
    {result_code::pause_too_long,
     "pause_too_long",
     outcome::not_run,
     500,
     "The pause that a server asks for exceeds its limit, which applies instead."},
    {result_code::pause_repeated,
     "pause_repeated",
     outcome::not_run,
     500,
     "A server asks for several pauses at once; the longest applies."},
});

}

std::span<const result_code_info> resultCodeTable()
{
    return codeTable;
}

const result_code_info &infoOf(result_code code)
{
    const auto *const row = std::ranges::find(codeTable, code, &result_code_info::code);
    return row == codeTable.end() ? codeTable.front() : *row;
}

std::optional<result_code> resultCodeFromNumber(int number)
{
    const auto code = static_cast<result_code>(number);
    const auto *const row = std::ranges::find(codeTable, code, &result_code_info::code);
    if (row == codeTable.end()) {
        return std::nullopt;
    }
    return row->code;
}

std::string_view outcomeName(outcome value)
{
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

}
