/**
 * @file
 * Bounded ring that joins two threads of a process.
 */
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace cardamomdeck {

/**
 * Single-producer, single-consumer ring. A push into a full ring drops the
 * value and counts it, so the producer never blocks.
 */
template<typename value_type>
class bounded_ring
{
public:
    /** A ring that holds @p capacity values. */
    explicit bounded_ring(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    /** Adds @p value; returns false, and counts the drop, when the ring is full. */
    bool push(value_type value)
    {
        if (m_queue.push(std::move(value))) {
            return true;
        }
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /** Takes the oldest value into @p value; returns false when the ring is empty. */
    bool pop(value_type &value)
    {
        return m_queue.pop(value);
    }

    /** Values dropped so far. */
    std::uint64_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<value_type> m_queue;
    std::atomic<std::uint64_t> m_dropped = 0;
};

}
