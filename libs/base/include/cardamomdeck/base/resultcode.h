/**
 * @file
 * Numbered result codes. docs/ERRORS.md lists each with its meaning.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamomdeck {

/** What is known about a request once its handling has ended. */
enum class outcome {
    answered, /**< The whole answer of a back end was received. */
    not_run, /**< No back end has started, or ever will start, the request. */
    unknown, /**< A back end may have run the request. */
};

/** Every result that a caller, operator or log line can see. */
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

/** The row of @p code. */
const result_code_info &infoOf(result_code code);

/** The code with number @p number, or nothing when the table has no such row. */
std::optional<result_code> resultCodeFromNumber(int number);

/** The name of @p value as it stands in headers and logs. */
std::string_view outcomeName(outcome value);

/** An error object for Boost.LEAF: the code and what it was about. */
struct failure
{
    result_code code;
    std::string detail;
};

}
