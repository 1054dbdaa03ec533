/**
 * @file
 * RAII guard for a counter of operations in progress.
 */
#pragma once

namespace cardamomdeck {

/** Increments a counter and decrements it on destruction, also after an exception. The counter must outlive it. */
template<typename number>
class count_guard
{
public:
    explicit count_guard(number &counter)
        : m_counter(counter)
    {
        ++m_counter;
    }

    ~count_guard()
    {
        --m_counter;
    }

    count_guard(const count_guard &) = delete;
    count_guard &operator=(const count_guard &) = delete;

private:
    number &m_counter;
};

}
