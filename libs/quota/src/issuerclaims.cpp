#include "cardamomdeck/quota/quotaissuer.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Relayed queries that have no response yet; an entry that takes over queries once for each workspace. */
constexpr std::size_t maxRelayedQueries = 256;

/** Time after the last request for which an issuer that is not the first candidate checks those before it. */
constexpr milliseconds checkedTime{5000};

}

bool quota_issuer::isEligible(time_point now) const
{
    return m_candidateSince && (m_membership.fleetJustStarted || now - *m_candidateSince >= candidateTime);
}

bool quota_issuer::canClaim(const bucket &workspace, time_point now) const
{
    return !workspace.isIssuer && !workspace.pendingClaim && now >= workspace.nextClaimAt && isEligible(now);
}

void quota_issuer::startClaim(bucket_item &item, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    claim started;
    started.number = ++m_lastNumber;
    started.endsAt = now + (workspace.isFirst ? firstClaimTimeout : claimTimeout);
    m_nextClaimEndAt = std::min(m_nextClaimEndAt, started.endsAt);
    for (const std::string &entry : m_membership.order.nearCandidates()) {
        if (entry != m_self) {
            started.unanswered.insert(entry);
            out.push_back({entry, issuer_query{m_self, item.first, started.number, query_purpose::claim}});
        }
    }
    const bool isAlone = started.unanswered.empty();
    workspace.knownIssuer.clear();
    workspace.pendingClaim = std::move(started);
    if (isAlone) {
        finishClaim(item, 0, now, out);
    }
}

void quota_issuer::finishClaim(bucket_item &item, double tokens, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    refill(workspace, now);
    // Before the claim, the bucket holds what was left when this entry was the issuer last; it has not been refilled.
    workspace.tokens = std::min(depthOf(workspace), std::max({workspace.tokens, tokens, initialTokens}));
    workspace.pendingClaim.reset();
    workspace.isIssuer = true;
    workspace.knownIssuer.clear();
    workspace.nextCheckAt = now + checkPeriod;
    workspace.lastRequestAt = now;
    if (!workspace.isFirst) {
        ++m_totals.takeovers;
    }
    std::vector<token_request> waiting;
    waiting.swap(workspace.waiting);
    for (const token_request &request : waiting) {
        handleRequest(item, request, now, out);
    }
}

void quota_issuer::failClaim(bucket_item &item, const std::string &issuer, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    workspace.pendingClaim.reset();
    workspace.nextClaimAt = now + claimRetryDelay;
    workspace.knownIssuer = issuer;
    for (const token_request &request : workspace.waiting) {
        out.push_back({request.sender, refuse(workspace, request, now)});
    }
    workspace.waiting.clear();
}

void quota_issuer::stopIssuing(bucket &workspace, const std::string &issuer, time_point now)
{
    workspace.isIssuer = false;
    workspace.tokens = 0;
    workspace.filledAt = now;
    workspace.knownIssuer = issuer;
    workspace.nextClaimAt = now + claimRetryDelay;
    workspace.holders.clear();
}

void quota_issuer::handleQuery(bucket_item &item, const issuer_query &query, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    const bool isStatusOnly = query.purpose == query_purpose::status;
    const bool senderIsBefore = isIssuerBefore(query.sender, m_self, item.first);
    issuer_status status{m_self, item.first, query.number, issuer_state::none, 0, {}};
    if (workspace.isIssuer) {
        status.state = issuer_state::issuer;
        if (!isStatusOnly && (senderIsBefore || !m_membership.order.isCandidate(m_self))) {
            refill(workspace, now);
            status.state = issuer_state::yielded;
            // When both were issuers, the sender has a bucket of its own.
            status.tokens = query.purpose == query_purpose::check ? 0 : static_cast<std::uint32_t>(workspace.tokens);
            stopIssuing(workspace, query.sender, now);
        }
    } else if (isEligible(now) && (isStatusOnly || !senderIsBefore)) {
        status.state = issuer_state::eligible;
    } else if (workspace.pendingClaim && query.purpose == query_purpose::claim) {
        failClaim(item, query.sender, now, out);
    }
    if (status.state == issuer_state::none && query.purpose == query_purpose::claim && relayQuery(item, query, out)) {
        return;
    }
    out.push_back({query.sender, status});
}

bool quota_issuer::relayQuery(const bucket_item &item, const issuer_query &query, quota_messages &out)
{
    const std::string &first = item.second.firstCandidate;
    if (first.empty() || first == m_self || first == query.sender || !isIssuerBefore(first, query.sender, item.first)) {
        return false;
    }
    if (m_relayedQueries.size() >= maxRelayedQueries) {
        m_relayedQueries.pop_front();
    }
    m_relayedQueries.push_back({++m_lastNumber, item.first, query.sender, query.number});
    out.push_back({first, issuer_query{m_self, item.first, m_lastNumber, query_purpose::status}});
    return true;
}

bool quota_issuer::relayStatus(const issuer_status &status, quota_messages &out)
{
    const auto found = std::ranges::find_if(m_relayedQueries, [&status](const relayed_query &query) {
        return query.number == status.number && query.workspace == status.workspace;
    });
    if (found == m_relayedQueries.end()) {
        return false;
    }
    issuer_status relayed = status;
    relayed.number = found->queryNumber;
    relayed.relay = m_self;
    out.push_back({found->querySender, relayed});
    m_relayedQueries.erase(found);
    return true;
}

void quota_issuer::handleStatus(bucket_item &item, const issuer_status &status, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    const bool senderIsBefore = isIssuerBefore(status.sender, m_self, item.first);
    if (workspace.isIssuer && status.number == workspace.checkNumber && senderIsBefore) {
        if (status.state == issuer_state::issuer) {
            stopIssuing(workspace, status.sender, now);
        } else if (status.state == issuer_state::eligible) {
            refill(workspace, now);
            out.push_back(
                {status.sender, issuer_handover{m_self, item.first, static_cast<std::uint32_t>(workspace.tokens)}});
            stopIssuing(workspace, status.sender, now);
        }
        return;
    }
    if (!workspace.pendingClaim || status.number != workspace.pendingClaim->number) {
        return;
    }
    switch (status.state) {
    case issuer_state::issuer:
        failClaim(item, status.sender, now, out);
        return;
    case issuer_state::yielded:
        finishClaim(item, status.tokens, now, out);
        return;
    case issuer_state::eligible:
        if (senderIsBefore) {
            failClaim(item, status.sender, now, out);
            return;
        }
        break;
    case issuer_state::none:
        break;
    }
    workspace.pendingClaim->unanswered.erase(status.relay.empty() ? status.sender : status.relay);
    if (workspace.pendingClaim->unanswered.empty()) {
        finishClaim(item, 0, now, out);
    }
}

void quota_issuer::handleHandover(bucket_item &item,
                                  const issuer_handover &handover,
                                  time_point now,
                                  quota_messages &out)
{
    if (!item.second.isIssuer && isEligible(now) && !isIssuerBefore(handover.sender, m_self, item.first)) {
        finishClaim(item, handover.tokens, now, out);
    }
}

void quota_issuer::checkEarlierCandidates(bucket_item &item, time_point now, quota_messages &out)
{
    bucket &workspace = item.second;
    if (now - workspace.lastRequestAt > checkedTime) {
        stopIssuing(workspace, {}, now);
        return;
    }
    workspace.nextCheckAt = now + checkPeriod;
    workspace.checkNumber = ++m_lastNumber;
    for (const std::string &entry : m_membership.order.candidates()) {
        if (entry != m_self && isIssuerBefore(entry, m_self, item.first)) {
            out.push_back({entry, issuer_query{m_self, item.first, workspace.checkNumber, query_purpose::check}});
        }
    }
}

}
