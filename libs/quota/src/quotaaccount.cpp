#include "cardamomdeck/quota/quotaaccount.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Maximum number of tokens of one request. */
constexpr std::size_t maxRequestedTokens = 100'000;

/** Time for which an entry that is not the issuer is passed over at most. */
constexpr milliseconds maxNotIssuerTime{500};

/** Limits of the time over which rejected callers return. */
constexpr double minSpreadMs = 50.0;
constexpr double maxSpreadMs = 3000.0;

/** Minimum number of requests per second that this entry is assumed to serve when rejected callers return. */
constexpr double minServedRate = 0.3;

constexpr double millisecondsPerSecond = 1000.0;

double toSeconds(nanoseconds span)
{
    return std::chrono::duration<double>(span).count();
}

/** An exponential average over one second at @p now. */
double decayed(double value, time_point valueAt, time_point now)
{
    return value * std::exp(-toSeconds(std::max(now, valueAt) - valueAt));
}

}

quota_account::quota_account(std::string self,
                             std::string workspace,
                             quota_limit limit,
                             quota_policy policy,
                             std::uint64_t firstNumber,
                             time_point entryStartedAt,
                             random_source &random)
    : m_self(std::move(self))
    , m_workspace(std::move(workspace))
    , m_limit(limit)
    , m_policy(policy)
    , m_entryStartedAt(entryStartedAt)
    , m_lastNumber(firstNumber)
    , m_fallbackTokens(randomUnit(random))
    , m_fallbackFilledAt(entryStartedAt + startTime)
{
}

void quota_account::setLimit(quota_limit limit)
{
    if (limit.requestsPerSecond < m_limit.requestsPerSecond) {
        const double ratio = limit.requestsPerSecond / m_limit.requestsPerSecond;
        for (batch &granted : m_stock) {
            granted.tokens = static_cast<std::size_t>(static_cast<double>(granted.tokens) * ratio);
        }
        std::erase_if(m_stock, [](const batch &granted) { return granted.tokens == 0; });
    }
    m_limit = limit;
}

void quota_account::setPolicy(quota_policy policy)
{
    m_policy = policy;
}

void quota_account::setIssuers(std::vector<std::string> issuers)
{
    m_issuers = std::move(issuers);
    std::erase_if(m_passedOver,
                  [this](const auto &item) { return std::ranges::find(m_issuers, item.first) == m_issuers.end(); });
}

void quota_account::setFleetSize(std::size_t entries)
{
    m_fleetSize = std::max<std::size_t>(1, entries);
}

double quota_account::demand(time_point now) const
{
    return decayed(m_demand, m_demandAt, now);
}

void quota_account::recordDemand(time_point now)
{
    m_demand = demand(now) + 1.0;
    m_demandAt = std::max(m_demandAt, now);
}

double quota_account::decayedRejections(time_point now) const
{
    return decayed(m_rejections, m_rejectionsAt, now);
}

void quota_account::recordRejection(time_point now)
{
    m_rejections = decayedRejections(now) + 1.0;
    m_rejectionsAt = std::max(m_rejectionsAt, now);
}

void quota_account::dropExpired(time_point now)
{
    while (!m_stock.empty() && (m_stock.front().expiresAt <= now || m_stock.front().tokens == 0)) {
        m_stock.pop_front();
    }
}

std::optional<time_point> quota_account::takeToken(time_point now)
{
    dropExpired(now);
    if (m_stock.empty()) {
        return std::nullopt;
    }
    batch &oldest = m_stock.front();
    --oldest.tokens;
    return oldest.expiresAt;
}

bool quota_account::takeFallbackToken(time_point now)
{
    if (now < m_entryStartedAt + startTime) {
        return false;
    }
    const double rate = m_limit.requestsPerSecond / static_cast<double>(m_fleetSize);
    m_fallbackTokens = std::min(1.0, m_fallbackTokens + rate * toSeconds(now - m_fallbackFilledAt));
    m_fallbackFilledAt = now;
    if (m_fallbackTokens < 1.0) {
        return false;
    }
    m_fallbackTokens -= 1.0;
    return true;
}

quota_decision quota_account::admit(std::optional<time_point> expiresAt)
{
    ++m_totals.admitted;
    return {quota_verdict::admitted, milliseconds(0), expiresAt};
}

milliseconds quota_account::retryDelay(time_point now, random_source &random) const
{
    time_point availableAt = std::max(m_emptyUntil, now);
    if (availableAt == now && selectIssuer(now) == nullptr) {
        availableAt = std::clamp(issuerAvailableAt(), now, now + passOverTime);
    }
    // Those rejected within the last second return over the time in which this entry can serve them.
    const double rejections = decayedRejections(now);
    const double served = std::max(
        {demand(now) - rejections, m_limit.requestsPerSecond / static_cast<double>(m_fleetSize), minServedRate});
    const double spreadMs = std::clamp(millisecondsPerSecond * rejections / served, minSpreadMs, maxSpreadMs);
    return std::chrono::ceil<milliseconds>(availableAt - now)
           + milliseconds(1 + std::llround(spreadMs * randomUnit(random)));
}

quota_decision quota_account::reject(time_point now, random_source &random)
{
    ++m_totals.rejected;
    recordRejection(now);
    return {quota_verdict::rejected, retryDelay(now, random), std::nullopt};
}

quota_decision quota_account::request(time_point now, random_source &random)
{
    recordDemand(now);
    if (m_waiting == 0) {
        if (const auto expiresAt = takeToken(now)) {
            return admit(expiresAt);
        }
    }
    if (m_emptyUntil > now) {
        return reject(now, random);
    }
    ++m_waiting;
    if (hasNoIssuer(now)) {
        return endWaiting(now, random);
    }
    return {quota_verdict::waiting, milliseconds(0), std::nullopt};
}

std::optional<quota_decision> quota_account::takeForWaiting(time_point now)
{
    if (m_waiting == 0) {
        return std::nullopt;
    }
    const auto expiresAt = takeToken(now);
    if (!expiresAt) {
        return std::nullopt;
    }
    --m_waiting;
    return admit(expiresAt);
}

bool quota_account::mustRejectWaiting(time_point now) const
{
    return m_waiting > 0 && stock(now) == 0 && (m_emptyUntil > now || hasNoIssuer(now));
}

bool quota_account::hasNoIssuer(time_point now) const
{
    return !m_pending && selectIssuer(now) == nullptr && issuerAvailableAt() > now + maxWait;
}

quota_account::step quota_account::advance(time_point now, random_source &random)
{
    step next;
    while (auto decision = takeForWaiting(now)) {
        next.decisions.push_back(*decision);
    }
    next.message = nextRequest(now);
    while (mustRejectWaiting(now)) {
        next.decisions.push_back(endWaiting(now, random));
    }
    return next;
}

quota_decision quota_account::endWaiting(time_point now, random_source &random)
{
    --m_waiting;
    if (const auto expiresAt = takeToken(now)) {
        return admit(expiresAt);
    }
    // An issuer without tokens is an answer; without an answer this entry spends its part of the limit.
    if (m_emptyUntil <= now && takeFallbackToken(now)) {
        ++m_totals.fallback;
        return admit(std::nullopt);
    }
    return reject(now, random);
}

void quota_account::giveBack(const quota_decision &decision, time_point now)
{
    if (!decision.tokenExpiresAt || *decision.tokenExpiresAt <= now) {
        return;
    }
    const auto position = std::ranges::find_if(
        m_stock, [&decision](const batch &granted) { return granted.expiresAt >= *decision.tokenExpiresAt; });
    if (position != m_stock.end() && position->expiresAt == *decision.tokenExpiresAt) {
        ++position->tokens;
    } else {
        m_stock.insert(position, {1, *decision.tokenExpiresAt});
    }
}

const std::string *quota_account::selectIssuer(time_point now) const
{
    const auto isPassedOver = [this, now](const std::string &issuer) {
        const auto found = m_passedOver.find(issuer);
        return found != m_passedOver.end() && found->second.until > now;
    };
    if (!m_preferredIssuer.empty() && !isPassedOver(m_preferredIssuer)) {
        return &m_preferredIssuer;
    }
    const auto found = std::ranges::find_if_not(m_issuers, isPassedOver);
    return found == m_issuers.end() ? nullptr : &*found;
}

time_point quota_account::issuerAvailableAt() const
{
    time_point earliest = time_point::max();
    for (const std::string &issuer : m_issuers) {
        const auto found = m_passedOver.find(issuer);
        earliest = std::min(earliest, found == m_passedOver.end() ? time_point::min() : found->second.until);
    }
    return earliest;
}

std::size_t quota_account::wantedTokens(time_point now) const
{
    const double expected = demand(now);
    const double batchSeconds = toSeconds(batchTime);
    const auto batchTokens = static_cast<std::size_t>(expected * batchSeconds);
    const std::size_t available = stock(now);
    if (m_waiting > available) {
        return std::min(maxRequestedTokens, m_waiting - available + batchTokens);
    }
    const bool runsLow = static_cast<double>(available) <= expected * toSeconds(aheadTime);
    return expected >= minAheadDemand && runsLow ? std::min(maxRequestedTokens, std::max<std::size_t>(1, batchTokens))
                                                 : 0;
}

std::optional<addressed_quota_message> quota_account::nextRequest(time_point now)
{
    if (m_pending) {
        if (now < m_pending->timeoutAt) {
            return std::nullopt;
        }
        if (m_pending->attempts < maxAttempts) {
            ++m_pending->attempts;
            m_pending->timeoutAt = now + responseTimeout;
            return addressed_quota_message{m_pending->receiver, m_pending->request};
        }
        m_passedOver[m_pending->receiver] = {now + passOverTime, now + silenceTime};
        m_preferredIssuer.clear();
        m_pending.reset();
    }
    if (m_emptyUntil > now) {
        return std::nullopt;
    }
    const std::size_t wanted = wantedTokens(now);
    const std::string *const issuer = wanted > 0 ? selectIssuer(now) : nullptr;
    if (issuer == nullptr) {
        return std::nullopt;
    }
    token_request request{m_self, m_workspace, ++m_lastNumber, static_cast<std::uint32_t>(wanted)};
    m_pending = {std::move(request), *issuer, now, now + responseTimeout, 1};
    return addressed_quota_message{m_pending->receiver, m_pending->request};
}

time_point quota_account::nextActionAt() const
{
    if (m_pending) {
        return m_pending->timeoutAt;
    }
    return m_waiting > 0 ? std::max(m_emptyUntil, issuerAvailableAt()) : time_point::max();
}

bool quota_account::recordGrant(const token_grant &grant, time_point now, random_source &random)
{
    if (!m_pending || m_pending->request.number != grant.number || m_pending->receiver != grant.sender) {
        return false;
    }
    const time_point expiresAt = m_pending->firstSentAt + m_policy.tokenLifetime;
    m_pending.reset();
    if (!grant.isIssuer) {
        m_passedOver[grant.sender] = {now + std::clamp(grant.retryAfter, milliseconds(1), maxNotIssuerTime), now};
        m_preferredIssuer.clear();
        // It need not be one of those that this entry knows as possible issuers.
        if (!grant.issuer.empty() && grant.issuer != grant.sender) {
            const auto passedOver = m_passedOver.find(grant.issuer);
            if (passedOver == m_passedOver.end() || passedOver->second.trustedFrom <= now) {
                m_passedOver.erase(grant.issuer);
                m_preferredIssuer = grant.issuer;
            }
        }
        return true;
    }
    m_issuer = grant.sender;
    m_lastResponseAt = now;
    m_passedOver.erase(grant.sender);
    if (grant.tokens > 0 && expiresAt > now) {
        m_stock.push_back({grant.tokens, expiresAt});
    }
    if (grant.retryAfter > milliseconds(0)) {
        // The issuer assigns each entry its time; the jitter is for callers that return to several entries at once.
        constexpr double maxJitter = 0.1;
        const double delayMs = static_cast<double>(grant.retryAfter.count()) * (1.0 + maxJitter * randomUnit(random));
        m_emptyUntil = now + std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(delayMs));
    }
    return true;
}

std::size_t quota_account::stock(time_point now) const
{
    std::size_t tokens = 0;
    for (const batch &granted : m_stock) {
        tokens += granted.expiresAt > now ? granted.tokens : 0;
    }
    return tokens;
}

const std::string &quota_account::issuer() const
{
    return m_issuer;
}

std::optional<time_point> quota_account::lastResponseAt() const
{
    return m_lastResponseAt;
}

const quota_limit &quota_account::limit() const
{
    return m_limit;
}

const account_totals &quota_account::totals() const
{
    return m_totals;
}

}
