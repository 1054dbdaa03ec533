/**
 * @file
 * Numeric result codes. docs/ERRORS.md lists each code with its meaning.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamomdeck {

/** Outcome of a request after its processing. */
enum class outcome {
    answered, /**< The complete response of a backend server was received. */
    not_run, /**< No backend server has started the request or will start it. */
    unknown, /**< A backend server may have run the request. */
};

/** All results that are visible to callers, to operators or in the log. */
enum class result_code : int {
    ok = 0,

    setting_invalid = 100,
    port_in_use = 102,

    resource_invalid = 200,
    resource_unknown = 201,
    version_conflict = 202,
    record_corrupt = 203,
    record_unsupported = 204,
    store_unavailable = 205,
    offset_expired = 206,
    change_pending = 207,
    method_unsupported = 208,
    store_era_outdated = 209,

    request_malformed = 300,
    head_too_large = 301,
    body_too_large = 302,
    route_unknown = 303,
    no_backend = 304,
    overloaded = 305,
    deadline_unreachable = 306,
    view_stale = 307,
    backend_refused = 308,
    connect_failed = 309,
    memory_short = 310,
    request_incomplete = 311,
    backends_withheld = 312,
    key_unknown = 313,
    quota_exceeded = 320,

    deadline_passed = 400,
    answer_cut = 401,
    answer_malformed = 402,
    answer_too_large = 403,
    connection_lost = 404,
    caller_gone = 405,
    internal_error = 406,

    frame_malformed = 500,
    frame_too_large = 501,
    base_unknown = 502,

    leaving_invalid = 600,
    pause_invalid = 601,
    pause_too_long = 602,
    pause_repeated = 603,
};

/** One row of the result code table. */
struct result_code_info
{
    result_code code;
    std::string_view name;
    outcome requestOutcome;
    unsigned httpStatus;
    std::string_view meaning;
};

/** All rows, in ascending order of code. */
std::span<const result_code_info> resultCodeTable();

/** The table row of @p code; the row of ok if the table has none. */
const result_code_info &infoOf(result_code code);

/** The code with the number @p number, or nothing if the table has no such code. */
std::optional<result_code> resultCodeFromNumber(int number);

/** The name of @p value in headers and logs. */
std::string_view outcomeName(outcome value);

/** Error object for Boost.LEAF: a code and a description of the error. */
struct failure
{
    result_code code;
    std::string detail;
};

}
