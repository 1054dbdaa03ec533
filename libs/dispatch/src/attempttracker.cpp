#include "cardamomdeck/dispatch/attempttracker.h"

namespace cardamomdeck {

attempt_tracker::attempt_tracker(std::uint32_t maxAttempts)
    : m_maxAttempts(maxAttempts)
{
}

bool attempt_tracker::tryReserve()
{
    if (m_started + m_reserved >= m_maxAttempts) {
        return false;
    }
    ++m_reserved;
    return true;
}

void attempt_tracker::releaseReservation()
{
    --m_reserved;
}

std::uint32_t attempt_tracker::start()
{
    --m_reserved;
    ++m_started;
    return ++m_lastNumber;
}

void attempt_tracker::cancelUnsent()
{
    --m_started;
}

std::uint32_t attempt_tracker::started() const
{
    return m_started;
}

bool attempt_tracker::hasReservation() const
{
    return m_reserved > 0;
}

}
