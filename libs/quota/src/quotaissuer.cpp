#include "cardamomdeck/quota/quotaissuer.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Maximum difference of the start times of entries that have started together. */
constexpr std::int64_t jointStartMs = 5000;

/** Requests that wait for the end of a claim. */
constexpr std::size_t maxWaitingRequests = 64;

/** Time for which the last response to an entry is kept; longer than its repetitions take. */
constexpr milliseconds holderTime{1000};

/** Minimum time after which an entry that was refused tokens asks again, and the distance of two such entries. */
constexpr milliseconds minRetryAfter{20};
constexpr milliseconds slotDistance{5};

/**
 * Maximum time after which it asks again. Those that have no requests by then leave their tokens to the others, which
 * must not wait for much longer.
 */
constexpr milliseconds maxRetryAfter{1000};

/** Rate and depth beyond the issued share, so that a small workspace is not rejected entirely by a minor part. */
constexpr double sharedRateFloor = 1;
constexpr double sharedDepthFloor = 2;

}

issuer_membership
makeIssuerMembership(const std::vector<fleet_member> &alive, const fleet_member &self, bool membersKnown)
{
    const bool justStarted = std::ranges::all_of(alive, [&self](const fleet_member &member) {
        return std::abs(member.startUnixMs - self.startUnixMs) <= jointStartMs;
    });
    return {issuer_order(alive), membersKnown, justStarted};
}

quota_issuer::quota_issuer(std::string self, quota_policy policy)
    : m_self(std::move(self))
    , m_policy(policy)
{
}

double quota_issuer::rateOf(const bucket &workspace) const
{
    const double rate = workspace.limit.requestsPerSecond;
    return m_share >= 1.0 ? rate : std::min(rate, m_share * rate + sharedRateFloor);
}

double quota_issuer::depthOf(const bucket &workspace) const
{
    const double depth = workspace.limit.burst + m_policy.extraDepth;
    return m_share >= 1.0 ? depth : std::min(depth, m_share * depth + sharedDepthFloor);
}

double quota_issuer::tokensAt(const bucket &workspace, time_point now) const
{
    if (!workspace.isIssuer) {
        return workspace.tokens;
    }
    const nanoseconds elapsed = std::max(now, workspace.filledAt) - workspace.filledAt;
    return std::min(depthOf(workspace),
                    workspace.tokens + std::chrono::duration<double>(elapsed).count() * rateOf(workspace));
}

void quota_issuer::refill(bucket &workspace, time_point now) const
{
    workspace.tokens = tokensAt(workspace, now);
    workspace.filledAt = std::max(workspace.filledAt, now);
}

void quota_issuer::refillAll(time_point now)
{
    for (auto &[name, workspace] : m_buckets) {
        refill(workspace, now);
    }
}

void quota_issuer::recordCall(time_point now)
{
    const nanoseconds gap = m_lastCallAt ? now - *m_lastCallAt : nanoseconds(0);
    if (gap > maxCallGap) {
        for (auto &[name, workspace] : m_buckets) {
            // What was not granted during the gap may have been granted by another entry.
            workspace.filledAt = now;
            workspace.tokens = gap > maxTokenGap ? 0 : workspace.tokens;
            workspace.isIssuer = false;
            workspace.pendingClaim.reset();
            workspace.waiting.clear();
            workspace.nextClaimAt = now;
        }
        if (gap > maxTokenGap && m_candidateSince) {
            m_candidateSince = now;
        }
    }
    m_lastCallAt = std::max(now, m_lastCallAt.value_or(now));
}

void quota_issuer::setLimits(const quota_limit_table &limits, time_point now)
{
    recordCall(now);
    refillAll(now);
    std::erase_if(m_buckets, [&limits](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[name, limit] : limits) {
        const auto [position, added] = m_buckets.try_emplace(name);
        bucket &workspace = position->second;
        if (added) {
            workspace.filledAt = now;
            updateFirstCandidate(*position);
        }
        workspace.limit = limit;
        refill(workspace, now);
    }
}

void quota_issuer::setPolicy(quota_policy policy, time_point now)
{
    refillAll(now);
    m_policy = policy;
}

void quota_issuer::setMembership(const issuer_membership &membership, time_point now)
{
    recordCall(now);
    const bool isCandidate = membership.membersKnown && membership.order.isCandidate(m_self);
    if (!isCandidate) {
        m_candidateSince.reset();
    } else if (!m_candidateSince) {
        m_candidateSince = now;
    }
    const bool orderChanged = membership.order != m_membership.order;
    m_membership = membership;
    if (!orderChanged) {
        return;
    }
    for (bucket_item &item : m_buckets) {
        updateFirstCandidate(item);
        item.second.knownIssuer.clear();
    }
}

void quota_issuer::updateFirstCandidate(bucket_item &item) const
{
    const std::vector<std::string> order = m_membership.order.orderFor(item.first);
    item.second.firstCandidate = order.empty() ? std::string() : order.front();
    item.second.isFirst = item.second.firstCandidate == m_self;
}

void quota_issuer::setShare(double share, time_point now)
{
    if (share != m_share) {
        refillAll(now);
        m_share = share;
    }
}

quota_messages quota_issuer::handle(const quota_message &message, time_point now)
{
    recordCall(now);
    quota_messages out;
    const auto itemOf = [this](const std::string &workspace) {
        return m_buckets.find(workspace);
    };
    if (const auto *const request = std::get_if<token_request>(&message)) {
        const auto item = itemOf(request->workspace);
        if (item != m_buckets.end()) {
            handleRequest(*item, *request, now, out);
        } else {
            // This entry has not installed the configuration with this workspace yet.
            out.push_back({request->sender, refuse(bucket(), *request, now)});
        }
    } else if (const auto *const query = std::get_if<issuer_query>(&message)) {
        const auto item = itemOf(query->workspace);
        if (item != m_buckets.end()) {
            handleQuery(*item, *query, now, out);
        } else {
            out.push_back(
                {query->sender, issuer_status{m_self, query->workspace, query->number, issuer_state::none, 0, {}}});
        }
    } else if (const auto *const status = std::get_if<issuer_status>(&message)) {
        const auto item = itemOf(status->workspace);
        if (item != m_buckets.end() && !relayStatus(*status, out)) {
            handleStatus(*item, *status, now, out);
        }
    } else if (const auto *const handover = std::get_if<issuer_handover>(&message)) {
        const auto item = itemOf(handover->workspace);
        if (item != m_buckets.end()) {
            handleHandover(*item, *handover, now, out);
        }
    }
    return out;
}

token_grant quota_issuer::refuse(const bucket &workspace, const token_request &request, time_point now) const
{
    // The entry that asks tries the others meanwhile.
    time_point retryAt = now + claimTimeout;
    if (workspace.pendingClaim) {
        retryAt = workspace.pendingClaim->endsAt;
    } else if (workspace.nextClaimAt > now) {
        retryAt = workspace.nextClaimAt;
    }
    token_grant response{m_self, request.workspace, request.number, false, 0, milliseconds(0), workspace.knownIssuer};
    response.retryAfter = std::max(minRetryAfter, std::chrono::ceil<milliseconds>(retryAt - now));
    return response;
}

token_grant quota_issuer::grant(bucket &workspace, const token_request &request, time_point now)
{
    refill(workspace, now);
    token_grant response{m_self, request.workspace, request.number, true, 0, milliseconds(0), {}};
    response.tokens
        = static_cast<std::uint32_t>(std::min(static_cast<double>(request.tokens), std::floor(workspace.tokens)));
    workspace.tokens -= response.tokens;
    if (response.tokens > 0) {
        ++m_totals.grants;
    }
    if (response.tokens == request.tokens) {
        return response;
    }
    ++m_totals.refusedGrants;
    const double tokenMs = 1000.0 / std::max(rateOf(workspace), 1e-3);
    const double untilTokenMs = (1.0 - workspace.tokens) * tokenMs;
    const double distanceMs = std::max(tokenMs, static_cast<double>(slotDistance.count()));
    const time_point earliest
        = now
          + std::max(nanoseconds(minRetryAfter),
                     std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(untilTokenMs)));
    const time_point slotAt = std::min(std::max(workspace.nextSlotAt, earliest), now + maxRetryAfter);
    workspace.nextSlotAt
        = slotAt + std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(distanceMs));
    response.retryAfter = std::chrono::ceil<milliseconds>(slotAt - now);
    return response;
}

void quota_issuer::handleRequest(bucket_item &item, const token_request &request, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    workspace.lastRequestAt = now;
    if (canClaim(workspace, now)) {
        startClaim(item, now, out);
    }
    if (workspace.isIssuer) {
        const auto [position, added] = workspace.holders.try_emplace(request.sender);
        holder &asking = position->second;
        const std::uint64_t lastNumber = added ? 0 : asking.lastGrant.number;
        if (!added && request.number < lastNumber) {
            return;
        }
        if (added || request.number > lastNumber) {
            asking.lastGrant = grant(workspace, request, now);
        }
        asking.expiresAt = now + holderTime;
        out.push_back({request.sender, asking.lastGrant});
        return;
    }
    if (workspace.pendingClaim && workspace.isFirst && workspace.waiting.size() < maxWaitingRequests) {
        const bool isRepeated = std::ranges::any_of(workspace.waiting, [&request](const token_request &waiting) {
            return waiting.sender == request.sender && waiting.number == request.number;
        });
        if (!isRepeated) {
            workspace.waiting.push_back(request);
        }
        return;
    }
    out.push_back({request.sender, refuse(workspace, request, now)});
}

quota_messages quota_issuer::tick(time_point now)
{
    recordCall(now);
    quota_messages out;
    m_nextClaimEndAt = time_point::max();
    for (bucket_item &item : m_buckets) {
        bucket &workspace = item.second;
        if (workspace.pendingClaim && now < workspace.pendingClaim->endsAt) {
            m_nextClaimEndAt = std::min(m_nextClaimEndAt, workspace.pendingClaim->endsAt);
        } else if (workspace.pendingClaim) {
            finishClaim(item, 0, now, out);
        }
        if (workspace.isIssuer && !workspace.isFirst && now >= workspace.nextCheckAt) {
            checkEarlierCandidates(item, now, out);
        } else if (workspace.isFirst && canClaim(workspace, now)) {
            startClaim(item, now, out);
        }
    }
    if (now >= m_nextExpiryAt) {
        m_nextExpiryAt = now + holderTime;
        for (auto &[name, workspace] : m_buckets) {
            absl::erase_if(workspace.holders, [now](const auto &item) { return item.second.expiresAt <= now; });
        }
    }
    return out;
}

time_point quota_issuer::nextTickAt(time_point lastTickAt) const
{
    return std::min(m_nextClaimEndAt, lastTickAt + tickPeriod);
}

bool quota_issuer::isIssuer(const std::string &workspace) const
{
    const auto found = m_buckets.find(workspace);
    return found != m_buckets.end() && found->second.isIssuer;
}

std::optional<double> quota_issuer::tokens(const std::string &workspace, time_point now) const
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end() || !found->second.isIssuer) {
        return std::nullopt;
    }
    return tokensAt(found->second, now);
}

const issuer_totals &quota_issuer::totals() const
{
    return m_totals;
}

}
