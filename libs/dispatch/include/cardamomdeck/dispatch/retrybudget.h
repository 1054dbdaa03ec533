/**
 * @file
 * Keeps the repeats of all entries together within the fleet's budget.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>
#include <deque>

namespace cardamomdeck {

/** The fleet's promise for one service: repeats in a window are at most a share of its requests plus a reserve. */
struct retry_limits
{
    milliseconds window{10'000};
    /** Repeats allowed for each request. */
    double ratio = 0.2;
    /** Repeats allowed besides, for the whole fleet. */
    double reserve = 58;

    bool operator==(const retry_limits &) const = default;
};

/**
 * One entry's share of the budget of one service: the ratio of its own
 * requests, and an equal part of the reserve. Entries that do not know of each
 * other would take too large parts, so a margin is left.
 */
class retry_budget
{
public:
    /** A budget with @p limits. */
    explicit retry_budget(retry_limits limits);

    /** Notes a caller's request. */
    void recordRequest(time_point now);

    /** Takes one repeat when the budget of one of @p entries entries allows it. */
    bool tryAcquire(time_point now, std::size_t entries);

private:
    void expire(time_point now);

    retry_limits m_limits;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

}
