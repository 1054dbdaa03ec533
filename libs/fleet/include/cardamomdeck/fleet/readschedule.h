/**
 * @file
 * Decides when an entry reads the store itself instead of waiting for what its peers pass on.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>
#include <cstdint>

namespace cardamomdeck {

/**
 * Reports of backend servers that a VM with @p cores processor cores and a link of @p linkMbps could take in a second
 * if it did nothing else: what decides who reads for a fleet with thousands of them.
 */
std::uint32_t estimateReadCapacity(double cores, double linkMbps);

/**
 * Readers are not elected. Every entry may read once its view is older than a
 * limit that grows with its rank among the live entries. The first by rank
 * reads and passes its view on, which keeps the others below their limits; if
 * it falls silent, the next one's limit is reached a moment later.
 */
class read_schedule
{
public:
    /** Age at which the first entry reads; leaves room for two silent readers within the promise of 2 s. */
    static constexpr milliseconds minReadAge{700};
    /** Added for each rank, so that a reader's news overtakes the next reader. */
    static constexpr milliseconds readAgeStepPerRank{150};
    /** Age at which every entry reads, whatever its rank. */
    static constexpr milliseconds maxReadAge{1350};
    /**
     * Time between the entries that read near lastAge, so that in a large fleet the news of the first that succeeds
     * reach most of the others before they read too.
     */
    static constexpr microseconds maxReadAgeStagger{2000};
    /** Most time over which they are spread; a read and its news take some 30 ms on a small VM. */
    static constexpr microseconds maxReadAgeSpread{250'000};
    /** Pause after a first failed read; doubles up to longestPause. */
    static constexpr milliseconds minRetryDelay{400};
    static constexpr milliseconds maxRetryDelay{1600};
    /** Entries, first by rank, that keep these pauses, and so notice that the store has returned. */
    static constexpr std::size_t fastRetryMembers = 5;
    /** Shortest pause of the others, which hear of the return from the first; spread by rank, from half of it on. */
    static constexpr milliseconds slowRetryDelay{3000};
    /**
     * Their pause for each live entry, where that makes it longer: all others together try some 25 times a second
     * then, and one of them finds the store back within 0.1 s even when it turns the first ones away.
     */
    static constexpr milliseconds slowRetryDelayPerMember{50};

    /** Notes that the view was known to be complete at @p at. */
    void noteFresh(time_point at);

    /** Notes a read that failed at @p now. */
    void noteFailure(time_point now);

    /** Notes a read of this entry that succeeded. */
    void noteSuccess();

    /** Forgets how fresh the view was, and any pause; the next read is due at @p now. */
    void invalidate(time_point now);

    /** When the entry of rank @p rank, counted from 0, among @p members live ones should read next. */
    time_point nextRead(std::size_t rank, std::size_t members) const;

    /** The last moment at which the view was known to be complete. */
    time_point freshAt() const;

private:
    time_point retryAt(std::size_t rank, std::size_t members) const;

    time_point m_freshAt;
    time_point m_failedAt = time_point::min();
    /** Pause after the last failed read while this entry is one of the first; 0 if the last read succeeded. */
    milliseconds m_retryDelay{0};
};

}
