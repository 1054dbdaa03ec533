/**
 * @file
 * The token buckets of the workspaces that one entry issues tokens for.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/quota/issuerorder.h"
#include "cardamomdeck/quota/quotamessage.h"
#include "cardamomdeck/quota/quotapolicy.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** Totals of an issuer. */
struct issuer_totals
{
    std::uint64_t grants = 0;
    /** Requests for tokens that were granted in part or not at all. */
    std::uint64_t refusedGrants = 0;
    /** Workspaces taken over from an entry that goes before this one. */
    std::uint64_t takeovers = 0;

    bool operator==(const issuer_totals &) const = default;
};

/** What an entry knows of the members of the fleet for its duty as an issuer. */
struct issuer_membership
{
    issuer_order order;
    /** The members of a running fleet are known; a starting entry may take itself for the only one. */
    bool membersKnown = false;
    /** All entries started at about the same time, so none can have issued tokens before. */
    bool fleetJustStarted = false;

    bool operator==(const issuer_membership &) const = default;
};

/** Determines the membership from the live members @p alive of the view of the entry @p self. */
issuer_membership
makeIssuerMembership(const std::vector<fleet_member> &alive, const fleet_member &self, bool membersKnown);

/**
 * Issues tokens for a workspace after it has claimed them: it queries the other entries that may be issuers, and is the
 * issuer unless one of them is or goes before it. An issuer yields to an entry that goes before it and claims the
 * tokens. An entry that is queried and knows of another one that goes before queries that one and relays its response:
 * the two may not know of each other, or their link may have failed. All state is in memory; a new issuer starts with
 * an almost empty bucket.
 */
class quota_issuer
{
public:
    /** Time for which an entry must have been a candidate in its own view before it issues tokens. */
    static constexpr milliseconds candidateTime{500};
    /** Time after which an entry that does not respond to a claim counts as unreachable. */
    static constexpr milliseconds claimTimeout{100};
    /** The time for the first candidate, which keeps requests waiting meanwhile; shorter than the requests' timeout. */
    static constexpr milliseconds firstClaimTimeout{50};
    /** Time until a claim that failed is repeated. */
    static constexpr milliseconds claimRetryDelay{250};
    /** Interval at which an issuer queries those before it. */
    static constexpr milliseconds checkPeriod{100};
    /** Longest interval between calls of tick(). */
    static constexpr milliseconds tickPeriod{100};
    /**
     * Time without a call after which another entry may have taken over. It takes an entry 175 ms; on a small VM, which
     * gets its processor in slices, shorter gaps are frequent.
     */
    static constexpr milliseconds maxCallGap{400};
    /** Gap after which the tokens in the buckets are void, because another entry may have issued as many. */
    static constexpr milliseconds maxTokenGap{2000};
    /** Tokens in the bucket of a new issuer, so that a small workspace need not wait for its first one. */
    static constexpr double initialTokens = 2;

    /** The issuer in the entry @p self. */
    quota_issuer(std::string self, quota_policy policy);

    /** Installs the limits of a configuration. */
    void setLimits(const quota_limit_table &limits, time_point now);

    /** Installs the policy of changed settings. */
    void setPolicy(quota_policy policy, time_point now);

    /** Updates the members. */
    void setMembership(const issuer_membership &membership, time_point now);

    /** Sets the share of the limits that this entry may issue; see fleet_reach. */
    void setShare(double share, time_point now);

    /** Handles a message to this entry; returns the messages to send. */
    quota_messages handle(const quota_message &message, time_point now);

    /** Starts and ends claims; to be called at nextTickAt(). */
    quota_messages tick(time_point now);

    /** Time of the next tick: the end of a claim, or a tickPeriod after @p lastTickAt. */
    time_point nextTickAt(time_point lastTickAt) const;

    /** True when this entry issues the tokens of @p workspace. */
    bool isIssuer(const std::string &workspace) const;

    /** Tokens in the bucket of @p workspace at @p now; none unless this entry is its issuer. */
    std::optional<double> tokens(const std::string &workspace, time_point now) const;

    const issuer_totals &totals() const;

private:
    struct claim
    {
        std::uint64_t number = 0;
        time_point endsAt;
        std::set<std::string> unanswered;
    };

    /** Last response to an entry that holds tokens; it is repeated if the request is repeated. */
    struct holder
    {
        token_grant lastGrant;
        time_point expiresAt;
    };

    struct bucket
    {
        quota_limit limit;
        double tokens = 0;
        time_point filledAt;
        bool isIssuer = false;
        /** This entry is the first candidate in its own view. */
        bool isFirst = false;
        /** First candidate in the view of this entry; empty if there is none. */
        std::string firstCandidate;
        std::optional<claim> pendingClaim;
        /** Number of the last check of an issuer that is not the first candidate. */
        std::uint64_t checkNumber = 0;
        time_point nextClaimAt;
        time_point nextCheckAt;
        time_point lastRequestAt;
        /** Requests that wait for the end of the claim of the first candidate. */
        std::vector<token_request> waiting;
        /** The issuer as far as this entry knows; empty if unknown. */
        std::string knownIssuer;
        /** Time at which the next entry that was refused tokens is to ask again. */
        time_point nextSlotAt;
        absl::flat_hash_map<std::string, holder> holders;
    };

    /** A query of another entry that this entry relays. */
    struct relayed_query
    {
        std::uint64_t number = 0;
        std::string workspace;
        std::string querySender;
        std::uint64_t queryNumber = 0;
    };

    using bucket_item = std::pair<const std::string, bucket>;

    /** Gives up the duty after a gap between two calls in which another entry may have taken over. */
    void recordCall(time_point now);
    void updateFirstCandidate(bucket_item &item) const;
    bool isEligible(time_point now) const;
    double rateOf(const bucket &workspace) const;
    double depthOf(const bucket &workspace) const;
    double tokensAt(const bucket &workspace, time_point now) const;
    void refill(bucket &workspace, time_point now) const;
    void refillAll(time_point now);
    void handleRequest(bucket_item &item, const token_request &request, time_point now, quota_messages &out);
    void handleQuery(bucket_item &item, const issuer_query &query, time_point now, quota_messages &out);
    /** Queries the entry that goes before the sender of @p query in its place; returns false if there is none. */
    bool relayQuery(const bucket_item &item, const issuer_query &query, quota_messages &out);
    /** Passes @p status on to the entry whose query was relayed; returns false if it is the response to an own query.
     */
    bool relayStatus(const issuer_status &status, quota_messages &out);
    void handleStatus(bucket_item &item, const issuer_status &status, time_point now, quota_messages &out);
    void handleHandover(bucket_item &item, const issuer_handover &handover, time_point now, quota_messages &out);
    token_grant grant(bucket &workspace, const token_request &request, time_point now);
    token_grant refuse(const bucket &workspace, const token_request &request, time_point now) const;
    bool canClaim(const bucket &workspace, time_point now) const;
    void startClaim(bucket_item &item, time_point now, quota_messages &out);
    void finishClaim(bucket_item &item, double tokens, time_point now, quota_messages &out);
    void failClaim(bucket_item &item, const std::string &issuer, time_point now, quota_messages &out);
    void checkEarlierCandidates(bucket_item &item, time_point now, quota_messages &out);
    void stopIssuing(bucket &workspace, const std::string &issuer, time_point now);

    std::string m_self;
    quota_policy m_policy;
    std::map<std::string, bucket> m_buckets;
    issuer_membership m_membership;
    /** Since when this entry is a candidate in its own view; none if it is not. */
    std::optional<time_point> m_candidateSince;
    double m_share = 1.0;
    std::uint64_t m_lastNumber = 0;
    std::deque<relayed_query> m_relayedQueries;
    std::optional<time_point> m_lastCallAt;
    /** Earliest end of a claim. */
    time_point m_nextClaimEndAt = time_point::max();
    time_point m_nextExpiryAt;
    issuer_totals m_totals;
};

}
