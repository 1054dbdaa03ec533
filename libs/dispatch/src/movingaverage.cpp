#include "cardamomdeck/dispatch/movingaverage.h"

#include <algorithm>

namespace cardamomdeck {

moving_average::moving_average(double weight)
    : m_weight(weight)
{
}

void moving_average::add(double value)
{
    ++m_count;
    // The first values get equal weights, so that the average does not depend on an arbitrary initial value.
    const double weight = std::max(m_weight, 1.0 / static_cast<double>(m_count));
    m_value += weight * (value - m_value);
}

double moving_average::valueOr(double fallback) const
{
    return m_count == 0 ? fallback : m_value;
}

}
