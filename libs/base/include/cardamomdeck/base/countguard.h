/**
 * @file
 * Counts something for as long as a guard lives, also when an exception ends its scope.
 */
#pragma once

namespace cardamomdeck {

/** Adds one to a counter, and takes it back at the end of its life. The counter must outlive it. */
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
