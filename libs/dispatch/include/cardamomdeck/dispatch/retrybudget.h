/**
 * @file
 * Limits the retries of all entries together to the fleet's retry budget.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>
#include <deque>

namespace cardamomdeck {

/**
 * Limit of the fleet's retries to one service: within a window, at most a share
 * of the service's requests plus a reserve.
 */
struct retry_limits
{
    milliseconds window{10'000};
    /** Retries allowed per request. */
    double ratio = 0.2;
    /** Additional retries allowed per window, for the whole fleet. */
    double reserve = 58;

    bool operator==(const retry_limits &) const = default;
};

/**
 * One entry's share of the retry budget of one service: the ratio applied to
 * its own requests, and an equal share of the reserve. Entries that have not
 * discovered each other yet use too large shares of the reserve, so a safety
 * margin is kept.
 */
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits);

    /** Records a request of a caller, which adds to the budget. */
    void recordRequest(time_point now);

    /** Acquires one retry if the budget of one of @p entries entries allows it; returns whether it does. */
    bool tryAcquire(time_point now, std::size_t entries);

private:
    void expire(time_point now);

    retry_limits m_limits;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

}
