/**
 * @file
 * Learns how long requests usually take, and how slow shared machines are on average.
 */
#pragma once

#include <cstdint>

namespace cardamomdeck {

/** Running mean that follows a changing stream. */
class moving_average
{
public:
    /** A mean in which a new value has weight @p weight, in (0, 1]. */
    explicit moving_average(double weight);

    /** Adds a value. */
    void add(double value);

    /** The mean, or @p fallback before the first value. */
    double valueOr(double fallback) const;

private:
    double m_weight;
    double m_value = 0;
    std::uint64_t m_count = 0;
};

}
