/**
 * @file
 * Moving average for service times, and for the slowdown of backend servers on shared machines.
 */
#pragma once

#include <cstdint>

namespace cardamomdeck {

/** Exponentially weighted moving average. */
class moving_average
{
public:
    /** Creates an average in which a new value has weight @p weight, in (0, 1]. */
    explicit moving_average(double weight);

    void add(double value);

    /** The average, or @p fallback before the first value. */
    double valueOr(double fallback) const;

private:
    double m_weight;
    double m_value = 0;
    std::uint64_t m_count = 0;
};

}
