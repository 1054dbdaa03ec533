/**
 * @file
 * Bounds the memory that requests and answers of all connections take together.
 */
#pragma once

#include <cstddef>

namespace cardamomdeck {

/**
 * A number of bytes that holders draw from. Must outlive its leases; used by one thread. Large messages leave a part of
 * it free, so that a body without end is given up before small ones find no room.
 */
class byte_budget
{
public:
    /** Size in bytes above which a message counts as large. */
    static constexpr std::size_t largeMessageBytes = 256U * 1024U;
    /** Part of the budget up to which large messages may draw, unless a lease names another. */
    static constexpr double largeMessageShare = 0.75;

    /** Bytes that are given back at the end of its life. */
    class reservation
    {
    public:
        reservation() = default;
        ~reservation();
        reservation(reservation &&other) noexcept;
        reservation &operator=(reservation &&other) noexcept;
        reservation(const reservation &) = delete;
        reservation &operator=(const reservation &) = delete;

        /** Makes the lease one of @p bytes; false when the budget is short of what is missing. Never shrinks. */
        bool growTo(std::size_t bytes);

    private:
        friend class byte_budget;
        reservation(byte_budget &budget, double part);
        void release();

        byte_budget *m_budget = nullptr;
        double m_largeMessageShare = largeMessageShare;
        std::size_t m_size = 0;
    };

    /** A budget of @p limit bytes. */
    explicit byte_budget(std::size_t limit);
    byte_budget(const byte_budget &) = delete;
    byte_budget &operator=(const byte_budget &) = delete;

    /** A lease of no bytes yet, of a message that may draw up to @p part of the budget when it is large. */
    reservation makeReservation(double part = largeMessageShare);

    /** Bytes held now. */
    std::size_t used() const;

    /** Bytes that may be held. */
    std::size_t limit() const;

    /** True when more than @p part of the budget is held. */
    bool isAbove(double part) const;

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

}
