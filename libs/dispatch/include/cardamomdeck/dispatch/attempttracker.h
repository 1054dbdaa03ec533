/**
 * @file
 * Counts the attempts of one request.
 */
#pragma once

#include <cstdint>

namespace cardamomdeck {

/**
 * Keeps the attempts of one request within their maximum. An attempt is reserved before its server is chosen, because
 * other attempts may fail and be retried during the choice.
 */
class attempt_tracker
{
public:
    explicit attempt_tracker(std::uint32_t maxAttempts);

    /** Reserves one attempt; returns false if all are used or reserved. */
    bool tryReserve();

    /** Returns a reserved attempt, because no server was found for it. */
    void releaseReservation();

    /** Uses a reserved attempt; returns its number, which no other attempt of the request gets. */
    std::uint32_t start();

    /** Takes back a started attempt of which no byte was sent. */
    void cancelUnsent();

    /** Number of attempts started, without those that were taken back. */
    std::uint32_t started() const;

    /** True while the server of a reserved attempt is not chosen yet. */
    bool hasReservation() const;

private:
    std::uint32_t m_maxAttempts;
    std::uint32_t m_reserved = 0;
    std::uint32_t m_started = 0;
    std::uint32_t m_lastNumber = 0;
};

}
