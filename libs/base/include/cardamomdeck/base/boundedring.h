/**
 * @file
 * Bounded ring buffer between two threads.
 */
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace cardamomdeck {

/**
 * Lock-free single-producer, single-consumer ring buffer. A push into a full
 * ring drops the value and counts it, so the producer never blocks.
 */
template<typename value_type>
class bounded_ring
{
public:
    /** Creates a ring for up to @p capacity values. */
    explicit bounded_ring(std::size_t capacity)
        : m_queue(capacity)
    {
    }

    /** Adds @p value; if the ring is full, counts the drop and returns false. */
    bool push(value_type value)
    {
        if (m_queue.push(std::move(value))) {
            return true;
        }
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /** Moves the oldest value into @p value; returns false if the ring is empty. */
    bool pop(value_type &value)
    {
        return m_queue.pop(value);
    }

    /** Number of values dropped so far. */
    std::uint64_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<value_type> m_queue;
    std::atomic<std::uint64_t> m_dropped = 0;
};

}
