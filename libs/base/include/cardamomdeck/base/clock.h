/**
 * @file
 * Time types shared by all libraries. Decision classes receive the current
 * time as an argument and store deadlines, never durations.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace cardamomdeck {

/** Monotonic clock for deadlines. */
using steady = std::chrono::steady_clock;

/** A point on the monotonic clock. */
using time_point = steady::time_point;

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using nanoseconds = std::chrono::nanoseconds;
using seconds = std::chrono::seconds;

/** Wall-clock time in milliseconds since the Unix epoch, for messages that leave the process. */
inline std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

/** Wall-clock time in microseconds since the Unix epoch, for trace spans. */
inline std::int64_t unixMicroseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<microseconds>(sinceEpoch).count();
}

/** Converts @p span to fractional milliseconds. */
template<typename duration>
double toMilliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

}
