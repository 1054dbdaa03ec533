/**
 * @file
 * Limits the total memory of the requests and responses of all connections.
 */
#pragma once

#include <cstddef>

namespace cardamomdeck {

/**
 * Memory budget in bytes. Must outlive its reservations; not thread-safe. Large messages may use only a share of it, so
 * that an endless body is aborted before it takes the memory of small messages.
 */
class byte_budget
{
public:
    /** Size in bytes above which a message counts as large. */
    static constexpr std::size_t largeMessageBytes = 256U * 1024U;
    /** Default share of the budget, in use by all messages, up to which a large message may grow. */
    static constexpr double largeMessageShare = 0.75;
    /**
     * Share of the budget in use above which new requests are rejected, so that those in flight have room for their
     * responses. Large messages alone do not reach it, so small requests are still served.
     */
    static constexpr double rejectionThreshold = 0.85;

    /** Reserved bytes, which are returned to the budget on destruction. */
    class reservation
    {
    public:
        reservation() = default;
        ~reservation();
        reservation(reservation &&other) noexcept;
        reservation &operator=(reservation &&other) noexcept;
        reservation(const reservation &) = delete;
        reservation &operator=(const reservation &) = delete;

        /** Grows the reservation to @p bytes; returns false if the budget does not allow it. Never shrinks it. */
        bool growTo(std::size_t bytes);

    private:
        friend class byte_budget;
        reservation(byte_budget &budget, double share);
        void release();

        byte_budget *m_budget = nullptr;
        double m_largeMessageShare = largeMessageShare;
        std::size_t m_size = 0;
    };

    /** Creates a budget of @p limit bytes. */
    explicit byte_budget(std::size_t limit);

    /** Limit in bytes of the budget of an entry on a VM with @p memoryBytes. */
    static std::size_t limitFor(std::size_t memoryBytes);

    byte_budget(const byte_budget &) = delete;
    byte_budget &operator=(const byte_budget &) = delete;

    /** Creates an empty reservation; a large message may grow until @p share of the budget is in use. */
    reservation makeReservation(double share = largeMessageShare);

    /** Number of reserved bytes. */
    std::size_t used() const;

    /** Size of the budget in bytes. */
    std::size_t limit() const;

    /** True if more than @p share of the budget is reserved. */
    bool isAbove(double share) const;

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

}
