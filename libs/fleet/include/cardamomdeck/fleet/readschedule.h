/**
 * @file
 * Decides when an entry reads the store itself instead of relying on updates from its peers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"

#include <cstddef>
#include <cstdint>

namespace cardamomdeck {

/**
 * Estimated number of backend server reports per second that an otherwise idle VM with @p cores processor cores and a
 * link of @p linkMbps (Mbit/s) can process. It determines which members read the store for a fleet with thousands of
 * backend servers.
 */
std::uint32_t estimateReadCapacity(double cores, double linkMbps);

/**
 * Schedules store reads without a leader election. Every entry reads once its view is older than a limit that grows
 * with its rank among the live entries. The first by rank reads and propagates its view, which keeps the views of the
 * others below their limits; if it fails, the next one reaches its limit shortly after.
 */
class read_schedule
{
public:
    /** View age at which the first entry reads; two failed readers still fit within the guarantee of 2 s. */
    static constexpr milliseconds minReadAge{700};
    /** View age added per rank, so that a reader's update arrives before the next entry reads. */
    static constexpr milliseconds readAgeStepPerRank{150};
    /** View age at which every entry reads, whatever its rank. */
    static constexpr milliseconds maxReadAge{1350};
    /**
     * Time between the reads of successive ranks near maxReadAge, so that in a large fleet the update of the first
     * successful reader reaches most other entries before they read too.
     */
    static constexpr microseconds maxReadAgeStagger{2000};
    /** Upper bound of the total stagger; a read and its propagation take about 30 ms on a small VM. */
    static constexpr microseconds maxReadAgeSpread{250'000};
    /** Delay after a first failed read; doubles with each failure up to maxRetryDelay. */
    static constexpr milliseconds minRetryDelay{400};
    static constexpr milliseconds maxRetryDelay{1600};
    /** Number of entries, first by rank, that use these delays and so detect the recovery of the store. */
    static constexpr std::size_t fastRetryMembers = 5;
    /**
     * Minimum retry delay of the other entries, which are informed of the recovery by the first ones. Retries are
     * spread by rank over the second half of the delay.
     */
    static constexpr milliseconds slowRetryDelay{3000};
    /**
     * Retry delay of the other entries per live entry, where that exceeds slowRetryDelay. Together they then retry
     * about 25 times a second, so that one of them detects the recovery within 0.1 s even when the store rejects the
     * first entries.
     */
    static constexpr milliseconds slowRetryDelayPerMember{50};

    /** Records that the view was complete at @p at; an earlier time than freshAt() is ignored. */
    void recordFresh(time_point at);

    /** Records a read of this entry that failed at @p now. */
    void recordFailure(time_point now);

    /** Records a successful read of this entry, which resets the retry delay. */
    void recordSuccess();

    /** Makes the view count as outdated and resets the retry delay; the next read is due at @p now. */
    void invalidate(time_point now);

    /** Time of the next read of the entry with rank @p rank, counted from 0, among @p members live entries. */
    time_point nextRead(std::size_t rank, std::size_t members) const;

    /** End of the delay after a failed read; in the past if the last read did not fail. Arguments as for nextRead(). */
    time_point retryAt(std::size_t rank, std::size_t members) const;

    /** Time at which the view was last known to be complete. */
    time_point freshAt() const;

private:
    time_point m_freshAt;
    time_point m_failedAt = time_point::min();
    /** Delay after the last failed read while this entry is one of the fastRetryMembers; 0 after a successful read. */
    milliseconds m_retryDelay{0};
};

}
