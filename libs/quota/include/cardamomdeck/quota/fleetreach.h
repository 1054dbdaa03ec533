/**
 * @file
 * The share of the fleet that an entry can reach, and the share of the quotas that it may issue.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * Estimates the share from a random sample of the live members that is queried periodically. Heartbeats show only after
 * several seconds that a part of a large fleet is cut off. Each part has an issuer, and the sum of what they issue must
 * keep the limits.
 */
class fleet_reach
{
public:
    /** Interval between two samples. */
    static constexpr milliseconds samplePeriod{250};
    /** Time within which an entry that can be reached responds. */
    static constexpr milliseconds responseTime{100};
    /** Number of entries in a sample. */
    static constexpr std::size_t sampleSize = 12;
    /** Share of responses below which the next samples follow at once and are larger. */
    static constexpr double suspiciousShare = 0.75;
    static constexpr std::size_t suspiciousSampleSize = 24;
    /** Share from which the fleet counts as whole; what a cut-off remainder issues is within the tolerance. */
    static constexpr double wholeShare = 0.9;
    /** Share of the limits that a minor part issues, because the others may issue the whole limits. */
    static constexpr double minorPartShare = 0.1;
    /**
     * Time after which a minor part that is in contact with the store takes the others for dead. It is longer than the
     * time in which a part that is cut off from the store notices that.
     */
    static constexpr milliseconds minorPartTime{3000};

    /** The next sample of @p peers, when it is due; @p number identifies its queries. */
    struct sample
    {
        std::uint64_t number = 0;
        std::vector<std::string> entries;

        bool operator==(const sample &) const = default;
    };
    std::optional<sample> nextSample(const std::vector<std::string> &peers, time_point now, random_source &random);

    /** Records the response of @p entry to the query @p number. */
    void recordResponse(const std::string &entry, std::uint64_t number);

    /** The number of entries at one time. */
    struct fleet_size
    {
        std::size_t live = 1;
        /** Largest number of known entries within the last minute. */
        std::size_t known = 1;

        bool operator==(const fleet_size &) const = default;
    };

    /** The share of the entries known within the last minute that can be reached. */
    double reachableShare(fleet_size size, time_point now) const;

    /**
     * The share of the limits that this entry may issue. The major part of a fleet issues the limits if it is in
     * contact with the store, and otherwise its share of them.
     */
    double issuedShare(fleet_size size, bool inContactWithStore, time_point now);

private:
    struct sent_sample
    {
        std::uint64_t number = 0;
        time_point endsAt;
        std::size_t asked = 0;
        std::set<std::string> responded;
    };

    /** Shares of responses to the last sample that has ended, and to the last two. */
    struct response_shares
    {
        double last = 1.0;
        double lastTwo = 1.0;
    };
    response_shares responseShares(time_point now) const;

    /** Samples of which the estimate is made, and those that may not have ended. */
    static constexpr std::size_t maxSamples = 4;

    std::deque<sent_sample> m_samples;
    time_point m_nextSampleAt;
    std::uint64_t m_lastNumber = 0;
    /** Start of the time in which this entry is in a minor part. */
    std::optional<time_point> m_minorSince;
};

}
