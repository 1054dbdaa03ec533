/**
 * @file
 * The tokens that one entry holds for one workspace.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/quota/quotamessage.h"
#include "cardamomdeck/quota/quotapolicy.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomdeck {

/** What becomes of a request. */
enum class quota_verdict {
    admitted,
    /** It waits for tokens. */
    waiting,
    rejected,
};

/** Decision about one request. */
struct quota_decision
{
    quota_verdict verdict = quota_verdict::admitted;
    /** Time after which a rejected caller should return. */
    milliseconds retryAfter{0};
    /** Time until which the token of an admitted request can be returned; none if it cannot. */
    std::optional<time_point> tokenExpiresAt;

    bool operator==(const quota_decision &) const = default;
};

/** Totals of an account. */
struct account_totals
{
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;
    /** Requests admitted without an issuer. */
    std::uint64_t fallback = 0;

    bool operator==(const account_totals &) const = default;
};

/**
 * Decides from the stock of tokens whether a request may run, and when to ask which entry for how many tokens. The
 * owner keeps the requests that wait, which are decided in their order.
 */
class quota_account
{
public:
    /** Maximum time for which a request waits for tokens. */
    static constexpr milliseconds maxWait{50};
    /** Time within which an issuer responds; 1 ms on the network, more on a busy small VM. */
    static constexpr milliseconds responseTimeout{25};
    /** Number of requests without a response after which an entry is passed over. */
    static constexpr std::uint32_t maxAttempts = 3;
    /** Time for which an entry is passed over. */
    static constexpr milliseconds passOverTime{1000};
    /**
     * Time after it did not respond from which an entry is asked again if another one names it as the issuer. It has
     * been paused or restarted then; if only the link to it has failed, asking it again costs the requests their
     * waiting time.
     */
    static constexpr milliseconds silenceTime{200};
    /** Demand for which tokens are requested. */
    static constexpr milliseconds batchTime{250};
    /** Demand for which the stock must last when tokens are requested ahead: the time of a response. */
    static constexpr milliseconds aheadTime{40};
    /**
     * Demand in requests per second from which tokens are requested ahead. From 1/s on, replays of 137 entries had 2 to
     * 3 times as many refusals and a third more messages, because many tokens expired unused.
     */
    static constexpr double minAheadDemand = 8;
    /** Time after its start in which an entry does not spend without an issuer, as it may not know all entries yet. */
    static constexpr milliseconds startTime{3000};

    /**
     * Account of the entry @p self for @p workspace. Numbers of requests start after @p firstNumber, which must be
     * higher than those of an earlier incarnation of the entry.
     */
    quota_account(std::string self,
                  std::string workspace,
                  quota_limit limit,
                  quota_policy policy,
                  std::uint64_t firstNumber,
                  time_point entryStartedAt,
                  random_source &random);

    /** Installs a changed limit; a lower one also reduces the stock. */
    void setLimit(quota_limit limit);

    /** Installs the policy of changed settings, for the tokens that are requested from now on. */
    void setPolicy(quota_policy policy);

    /** Sets the entries that may be issuers, in the order in which they are asked. */
    void setIssuers(std::vector<std::string> issuers);

    /** Sets the largest number of entries known in the last minute, by which the limit is divided without an issuer. */
    void setFleetSize(std::size_t entries);

    /** Decides about a new request. */
    quota_decision request(time_point now, random_source &random);

    /** What follows from the present stock and the responses so far. */
    struct step
    {
        /** Decisions about the first requests that wait, in their order. */
        std::vector<quota_decision> decisions;
        /** The request for tokens to send. */
        std::optional<addressed_quota_message> message;
    };

    /** Ends the wait of requests where possible; to be called after each other call and at nextActionAt(). */
    step advance(time_point now, random_source &random);

    /** Time at which advance() is to be called if no other call comes before. */
    time_point nextActionAt() const;

    /** Ends the wait of the first request that waits, after maxWait. */
    quota_decision endWaiting(time_point now, random_source &random);

    /** Returns a token of a request that was admitted and did not run. */
    void giveBack(const quota_decision &decision, time_point now);

    /** Handles the response to a request; returns false if it is late or a duplicate. */
    bool recordGrant(const token_grant &grant, time_point now, random_source &random);

    /** Number of tokens that can be used at @p now. */
    std::size_t stock(time_point now) const;

    /** Expected number of requests per second. */
    double demand(time_point now) const;

    /** The entry that granted or refused tokens last; empty if none did. */
    const std::string &issuer() const;

    /** Time of the last response of an issuer. */
    std::optional<time_point> lastResponseAt() const;

    const quota_limit &limit() const;
    const account_totals &totals() const;

private:
    struct batch
    {
        std::size_t tokens = 0;
        time_point expiresAt;
    };

    /** A request for tokens that has not been answered. */
    struct pending_request
    {
        token_request request;
        std::string receiver;
        time_point firstSentAt;
        time_point timeoutAt;
        std::uint32_t attempts = 0;
    };

    /** An entry that is not asked for a time. */
    struct passed_over
    {
        time_point until;
        /** Time from which another entry's statement that it is the issuer counts. */
        time_point trustedFrom;
    };

    void recordDemand(time_point now);
    void recordRejection(time_point now);
    double decayedRejections(time_point now) const;
    void dropExpired(time_point now);
    /** Takes a token for the first request that waits, if there is one. */
    std::optional<quota_decision> takeForWaiting(time_point now);
    /** True when the requests that wait must be rejected at once: the issuer has no tokens left, or there is none. */
    bool mustRejectWaiting(time_point now) const;
    bool hasNoIssuer(time_point now) const;
    std::optional<addressed_quota_message> nextRequest(time_point now);
    std::optional<time_point> takeToken(time_point now);
    bool takeFallbackToken(time_point now);
    std::size_t wantedTokens(time_point now) const;
    /** The entry to ask at @p now, or null when all are passed over. */
    const std::string *selectIssuer(time_point now) const;
    /** Earliest time at which an entry is no longer passed over. */
    time_point issuerAvailableAt() const;
    milliseconds retryDelay(time_point now, random_source &random) const;
    quota_decision admit(std::optional<time_point> expiresAt);
    quota_decision reject(time_point now, random_source &random);

    std::string m_self;
    std::string m_workspace;
    quota_limit m_limit;
    quota_policy m_policy;
    std::vector<std::string> m_issuers;
    std::size_t m_fleetSize = 1;
    time_point m_entryStartedAt;
    std::deque<batch> m_stock;
    std::size_t m_waiting = 0;
    /** Requests per second as of m_demandAt, an exponential average. */
    double m_demand = 0;
    time_point m_demandAt;
    /** Rejections per second as of m_rejectionsAt, an exponential average. */
    double m_rejections = 0;
    time_point m_rejectionsAt;
    std::optional<pending_request> m_pending;
    std::uint64_t m_lastNumber = 0;
    /** Requests are rejected until then, because the issuer has no tokens left. */
    time_point m_emptyUntil;
    std::map<std::string, passed_over> m_passedOver;
    /** Entry that another one named as the issuer, or that granted tokens; empty if there is none. */
    std::string m_preferredIssuer;
    double m_fallbackTokens = 0;
    time_point m_fallbackFilledAt;
    std::string m_issuer;
    std::optional<time_point> m_lastResponseAt;
    account_totals m_totals;
};

}
