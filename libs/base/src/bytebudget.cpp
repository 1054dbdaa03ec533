#include "cardamomdeck/base/bytebudget.h"

#include <utility>

namespace cardamomdeck {

byte_budget::reservation::reservation(byte_budget &budget, double share)
    : m_budget(&budget)
    , m_largeMessageShare(share)
{
}

byte_budget::reservation::~reservation()
{
    release();
}

byte_budget::reservation::reservation(reservation &&other) noexcept
    : m_budget(other.m_budget)
    , m_largeMessageShare(other.m_largeMessageShare)
    , m_size(std::exchange(other.m_size, 0))
{
}

byte_budget::reservation &byte_budget::reservation::operator=(reservation &&other) noexcept
{
    if (this != &other) {
        release();
        m_budget = other.m_budget;
        m_largeMessageShare = other.m_largeMessageShare;
        m_size = std::exchange(other.m_size, 0);
    }
    return *this;
}

bool byte_budget::reservation::growTo(std::size_t bytes)
{
    if (m_budget == nullptr || bytes <= m_size) {
        return true;
    }
    const std::size_t used = m_budget->m_used + (bytes - m_size);
    const double share = bytes > largeMessageBytes ? m_largeMessageShare : 1.0;
    if (static_cast<double>(used) > share * static_cast<double>(m_budget->m_limit)) {
        return false;
    }
    m_budget->m_used = used;
    m_size = bytes;
    return true;
}

void byte_budget::reservation::release()
{
    if (m_budget != nullptr) {
        m_budget->m_used -= m_size;
    }
    m_size = 0;
}

byte_budget::byte_budget(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t byte_budget::limitFor(std::size_t memoryBytes)
{
    // A body is held twice while it is forwarded, and growing buffers take up to half as much again.
    constexpr double memoryShare = 0.15;
    return static_cast<std::size_t>(memoryShare * static_cast<double>(memoryBytes));
}

byte_budget::reservation byte_budget::makeReservation(double share)
{
    return {*this, share};
}

std::size_t byte_budget::used() const
{
    return m_used;
}

std::size_t byte_budget::limit() const
{
    return m_limit;
}

bool byte_budget::isAbove(double share) const
{
    return static_cast<double>(m_used) > share * static_cast<double>(m_limit);
}

}
