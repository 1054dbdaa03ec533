/**
 * @file
 * Compares ways to keep the requests to one cold server within a bound over all entries, without a network. Prints the
 * largest number of requests in one second and the requests served for each way and demand.
 */
#include "cardamomdeck/dispatch/coldserverpacer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

ABSL_FLAG(std::uint32_t, entries, 137, "Number of entries.");
ABSL_FLAG(std::uint32_t, warmups, 2000, "Number of warm-ups that are replayed.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first warm-up.");

namespace cardamomdeck {

namespace {

constexpr cold_request_limit limit{5.8, 1.5, 8};
constexpr milliseconds step{10};
constexpr milliseconds warmupTime{3000};
constexpr seconds window{1};
const time_point start{seconds(1000)};

/** One entry's token bucket; its content at the start of the warm-up is random. */
struct token_bucket
{
    double tokens = 0;
    double tokensPerStep = 0;
    double depth = 1;

    void refill()
    {
        tokens = std::min(depth, tokens + tokensPerStep);
    }

    bool tryTake()
    {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
};

/** Decides for one warm-up which requests are sent. */
class method
{
public:
    virtual ~method() = default;
    virtual void startStep(time_point now) = 0;
    virtual bool trySend(std::size_t entry, time_point now) = 0;
};

class permits : public method
{
public:
    permits(std::size_t entries, std::uint64_t seed)
        : m_terms(*coldPermitTerms(limit, {true, {}, entries}, start, start))
        , m_random(seed)
        , m_pacers(entries)
    {
    }

    void startStep(time_point) override
    {
    }

    bool trySend(std::size_t entry, time_point now) override
    {
        return m_pacers[entry].tryUsePermit(m_terms, now, m_random);
    }

private:
    cold_permit_terms m_terms;
    random_source m_random;
    std::vector<cold_server_pacer> m_pacers;
};

/** Each entry has an equal share of the rate and of the tolerance, but one token at least. */
class equal_shares : public method
{
public:
    equal_shares(std::size_t entries, std::uint64_t seed)
        : m_buckets(entries)
    {
        random_source random(seed);
        const auto count = static_cast<double>(entries);
        for (token_bucket &bucket : m_buckets) {
            bucket.depth = std::max(1.0, limit.slack / count);
            bucket.tokensPerStep = limit.requestsPerSecond / count * std::chrono::duration<double>(step).count();
            bucket.tokens = bucket.depth * randomUnit(random);
        }
    }

    void startStep(time_point) override
    {
        for (token_bucket &bucket : m_buckets) {
            bucket.refill();
        }
    }

    bool trySend(std::size_t entry, time_point) override
    {
        return m_buckets[entry].tryTake();
    }

private:
    std::vector<token_bucket> m_buckets;
};

/**
 * One entry sends all requests to the server. In the middle of the warm-up another entry takes over, which a part of
 * the entries, among them the former owner, learns 1.7 s later (member_table::heartbeatTimeout).
 */
class one_owner : public method
{
public:
    one_owner(std::size_t entries, std::uint64_t seed)
    {
        random_source random(seed);
        m_owner = randomIndex(random, entries);
        m_nextOwner = randomIndex(random, entries);
        for (token_bucket *bucket : {&m_bucket, &m_nextBucket}) {
            bucket->depth = limit.slack;
            bucket->tokensPerStep = limit.requestsPerSecond * std::chrono::duration<double>(step).count();
            bucket->tokens = bucket->depth;
        }
    }

    void startStep(time_point) override
    {
        m_bucket.refill();
        m_nextBucket.refill();
    }

    bool trySend(std::size_t entry, time_point now) override
    {
        const bool changed = now >= start + warmupTime / 2;
        const bool formerOwnerKnows = now >= start + warmupTime / 2 + milliseconds(1700);
        if (entry == m_owner && !formerOwnerKnows) {
            return m_bucket.tryTake();
        }
        return entry == m_nextOwner && changed && m_nextBucket.tryTake();
    }

private:
    std::size_t m_owner;
    std::size_t m_nextOwner;
    token_bucket m_bucket;
    token_bucket m_nextBucket;
};

/** Whether an entry has requests for the server in a step. */
using demand = std::function<bool(std::size_t entry, milliseconds passed, random_source &random)>;

struct replay_result
{
    std::size_t maxInOneSecond = 0;
    std::size_t served = 0;
    /** Warm-ups with more than maxColdRequests() in a second. */
    std::size_t exceeded = 0;
};

void replay(method &tested, const demand &hasRequests, std::uint64_t seed, std::size_t entries, replay_result &result)
{
    random_source random(seed);
    std::vector<time_point> sent;
    for (milliseconds passed{0}; passed < warmupTime; passed += step) {
        const time_point now = start + passed;
        tested.startStep(now);
        for (std::size_t entry = 0; entry < entries; ++entry) {
            while (hasRequests(entry, passed, random) && tested.trySend(entry, now)) {
                sent.push_back(now);
            }
        }
    }
    std::size_t maximum = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] > window) {
            ++first;
        }
        maximum = std::max(maximum, last - first + 1);
    }
    result.maxInOneSecond = std::max(result.maxInOneSecond, maximum);
    result.served += sent.size();
    result.exceeded += static_cast<double>(maximum) > maxColdRequests(limit) ? 1 : 0;
}

template<typename tested_method>
void replayAll(const char *name, const char *demandName, const demand &hasRequests)
{
    const std::size_t entries = absl::GetFlag(FLAGS_entries);
    const std::uint32_t warmups = absl::GetFlag(FLAGS_warmups);
    replay_result result;
    for (std::uint64_t seed = absl::GetFlag(FLAGS_seed); seed < absl::GetFlag(FLAGS_seed) + warmups; ++seed) {
        tested_method tested(entries, seed);
        replay(tested, hasRequests, seed + 1'000'000, entries, result);
    }
    std::printf("%-14s %-9s max in 1 s %3zu, served %5.2f per warm-up, bound exceeded in %zu of %u\n",
                name,
                demandName,
                result.maxInOneSecond,
                static_cast<double>(result.served) / warmups,
                result.exceeded,
                warmups);
}

void run()
{
    const std::vector<std::pair<const char *, demand>> demands = {
        {"huge",
         [](std::size_t, milliseconds, random_source &) {
             return true;
         }},
        {"bursts",
         [](std::size_t, milliseconds passed, random_source &) {
             return passed % milliseconds(1600) >= milliseconds(500);
         }},
        {"late",
         [](std::size_t, milliseconds passed, random_source &) {
             return passed >= seconds(2);
         }},
        {"uneven",
         [](std::size_t entry, milliseconds, random_source &) {
             return entry < 2;
         }},
        // About 137 requests a second at 137 entries.
        {"moderate",
         [](std::size_t, milliseconds, random_source &random) {
             return randomUnit(random) < std::chrono::duration<double>(step).count();
         }},
        // About 14 requests a second at 137 entries.
        {"tiny",
         [](std::size_t, milliseconds, random_source &random) {
             return randomUnit(random) < 0.1 * std::chrono::duration<double>(step).count();
         }},
    };
    for (const auto &[name, hasRequests] : demands) {
        replayAll<permits>("permits", name, hasRequests);
        replayAll<one_owner>("one owner", name, hasRequests);
        replayAll<equal_shares>("equal shares", name, hasRequests);
    }
}

}

}

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    cardamomdeck::run();
    return 0;
}
