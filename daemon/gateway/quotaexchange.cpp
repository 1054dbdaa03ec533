#include "quotaexchange.h"

#include "decodeorlog.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/base/suspension.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Interval at which the members are taken over; half of a heartbeat interval. */
constexpr milliseconds membersPeriod{200};

/** View age above which this entry counts as out of contact with the store. */
constexpr milliseconds maxContactAge = fleet_state::storeOutageThreshold;

quota_policy policyOf(const platform::quota_limits &limits)
{
    return quota_policy::forTolerance(limits.window, limits.excess, limits.slack);
}

quota_limit_table limitsOf(const traffic_config &config)
{
    quota_limit_table limits;
    for (const auto &[name, workspace] : config.workspaces) {
        if (workspace.requestsPerSecond > 0) {
            limits[name] = {workspace.requestsPerSecond, workspace.burst};
        }
    }
    return limits;
}

}

quota_exchange::quota_exchange(asio::io_context &context,
                               const platform::platform_settings &settings,
                               control_plane &controlPlane)
    : m_context(context)
    , m_settings(settings)
    , m_controlPlane(controlPlane)
    , m_state(controlPlane.state())
    , m_random(std::random_device()())
    , m_initialSuspension(suspendedTotal())
    , m_startedAt(now())
    , m_policy(policyOf(settings.fleetLimits.quota))
    , m_issuer(settings.vmName, m_policy)
    , m_tickTimer(context)
{
    m_controlPlane.onQuotaMessage(
        [this](std::string_view datagram, const std::string &host) { handleDatagram(datagram, host); });
}

time_point quota_exchange::now() const
{
    return steady::now() + (suspendedTotal() - m_initialSuspension);
}

time_point quota_exchange::timerTime(time_point at) const
{
    return at - (suspendedTotal() - m_initialSuspension);
}

void quota_exchange::applyConfig(const traffic_config_ptr &config)
{
    if (config->version == m_configVersion) {
        return;
    }
    m_configVersion = config->version;
    m_limits = limitsOf(*config);
    m_issuer.setLimits(m_limits, now());
    for (auto item = m_holdings.begin(); item != m_holdings.end();) {
        holding &held = item->second;
        const auto limit = m_limits.find(item->first);
        if (limit != m_limits.end()) {
            held.account.setLimit(limit->second);
            ++item;
            continue;
        }
        // The limit has been removed.
        while (!held.waiting.empty()) {
            decide(held, {});
        }
        item = m_holdings.erase(item);
    }
    if (!m_limits.empty() && !m_ticking) {
        m_ticking = true;
        updateMembers();
        startLoop(m_context, "quota", [this] { return tickLoop(); });
    }
    m_tickTimer.cancel();
}

asio::awaitable<void> quota_exchange::tickLoop()
{
    while (!m_limits.empty()) {
        const quota_policy policy = policyOf(m_settings.fleetLimits.quota);
        if (policy != m_policy) {
            m_policy = policy;
            m_issuer.setPolicy(policy, now());
            for (auto &[name, held] : m_holdings) {
                held.account.setPolicy(policy);
            }
        }
        if (now() >= m_membersUpdatedAt + membersPeriod) {
            updateMembers();
        }
        sampleReach();
        m_lastTickAt = now();
        send(m_issuer.tick(m_lastTickAt));
        m_tickTimer.expires_at(timerTime(m_issuer.nextTickAt(m_lastTickAt)));
        co_await m_tickTimer.async_wait(asTuple);
    }
    m_ticking = false;
}

void quota_exchange::rescheduleTick()
{
    if (m_ticking && timerTime(m_issuer.nextTickAt(m_lastTickAt)) < m_tickTimer.expiry()) {
        m_tickTimer.cancel();
    }
}

void quota_exchange::updateMembers()
{
    const time_point steadyNow = steady::now();
    const time_point at = now();
    const member_table &members = m_state.members();
    const std::vector<fleet_member> alive = members.alive(steadyNow);
    std::size_t known = 1;
    m_hosts.clear();
    for (const fleet_member &peer : members.peers()) {
        m_hosts[peer.name] = peer.host;
        known += peer.shuttingDown ? 0 : 1;
    }
    m_sizeEstimate.record(std::max(known, alive.size()), at);
    m_size = {alive.size(), m_sizeEstimate.entries(at)};
    const issuer_membership membership = makeIssuerMembership(alive, members.self(), m_state.hasMembership());
    m_issuer.setMembership(membership, at);
    const bool orderChanged = membership.order != m_order;
    m_order = membership.order;
    for (auto &[name, held] : m_holdings) {
        held.account.setFleetSize(m_size.known);
        if (orderChanged) {
            held.account.setIssuers(m_order.orderFor(name));
            advance(name, held);
        }
    }
    m_membersUpdatedAt = at;
}

void quota_exchange::sampleReach()
{
    const std::string &self = m_settings.vmName;
    if (!m_order.isCandidate(self)) {
        return;
    }
    std::vector<std::string> peers;
    for (const fleet_member &member : m_state.members().alive(steady::now())) {
        if (member.name != self) {
            peers.push_back(member.name);
        }
    }
    if (const auto sample = m_reach.nextSample(peers, now(), m_random)) {
        for (const std::string &peer : sample->entries) {
            send({peer, issuer_query{self, "", sample->number, query_purpose::status}});
        }
    }
    const bool inContact = steady::now() - m_state.freshAt() <= maxContactAge;
    const double share = m_reach.issuedShare(m_size, inContact, now());
    if (share != m_issuedShare) {
        log_line("quota_share")
            .add("issued", share)
            .add("live", m_size.live)
            .add("known", m_size.known)
            .add("store_contact", inContact ? "true" : "false")
            .info();
        m_issuedShare = share;
    }
    m_issuer.setShare(share, now());
}

void quota_exchange::send(const quota_messages &messages)
{
    for (const addressed_quota_message &message : messages) {
        send(message);
    }
}

void quota_exchange::send(const addressed_quota_message &message)
{
    if (message.receiver == m_settings.vmName) {
        asio::post(m_context, [this, content = message.message] { handle(content, {}); });
        return;
    }
    // A message for an entry that is no longer known counts as lost.
    const auto host = m_hosts.find(message.receiver);
    if (host != m_hosts.end()) {
        m_controlPlane.sendQuotaMessage(encode(message.message), host->second);
    }
}

void quota_exchange::handleDatagram(std::string_view datagram, const std::string &host)
{
    const auto message
        = decodeOrLog("peer_message_rejected", "quota", [datagram] { return decodeQuotaMessage(datagram); });
    if (message) {
        handle(*message, host);
    }
}

void quota_exchange::handle(const quota_message &message, const std::string &host)
{
    const time_point at = now();
    if (!host.empty()) {
        // The members may be taken over later, and are not while no workspace has a limit here.
        m_hosts.try_emplace(senderOf(message), host);
    }
    if (const auto *const grant = std::get_if<token_grant>(&message)) {
        holding *const held = findHolding(grant->workspace);
        if (held != nullptr && held->account.recordGrant(*grant, at, m_random)) {
            advance(grant->workspace, *held);
        }
        return;
    }
    if (const auto *const status = std::get_if<issuer_status>(&message); status && status->workspace.empty()) {
        m_reach.recordResponse(status->sender, status->number);
        return;
    }
    send(m_issuer.handle(message, at));
    if (m_limits.empty()) {
        m_hosts.clear();
    }
    rescheduleTick();
}

quota_exchange::holding *quota_exchange::findHolding(const std::string &workspace)
{
    const auto found = m_holdings.find(workspace);
    return found == m_holdings.end() ? nullptr : &found->second;
}

quota_exchange::holding &quota_exchange::openHolding(const std::string &workspace)
{
    if (holding *const held = findHolding(workspace)) {
        return *held;
    }
    // Numbers start above those of an earlier incarnation, which asked far less than a million times per millisecond.
    constexpr std::uint64_t numbersPerMillisecond = 1000;
    const auto firstNumber = static_cast<std::uint64_t>(m_state.members().self().startUnixMs) * numbersPerMillisecond;
    quota_account account(
        m_settings.vmName, workspace, m_limits.at(workspace), m_policy, firstNumber, m_startedAt, m_random);
    account.setIssuers(m_order.orderFor(workspace));
    account.setFleetSize(m_size.known);
    return m_holdings.try_emplace(workspace, m_context, std::move(account)).first->second;
}

void quota_exchange::decide(holding &held, const quota_decision &decision)
{
    const waiting_request_ptr request = held.waiting.front();
    held.waiting.pop_front();
    request->decision = decision;
    request->timer.cancel();
}

void quota_exchange::advance(const std::string &workspace, holding &held)
{
    const quota_account::step step = held.account.advance(now(), m_random);
    for (const quota_decision &decision : step.decisions) {
        decide(held, decision);
    }
    if (step.message) {
        send(*step.message);
    }
    scheduleAction(workspace, held);
}

void quota_exchange::scheduleAction(const std::string &workspace, holding &held)
{
    const time_point nextActionAt = held.account.nextActionAt();
    if (nextActionAt == time_point::max() || held.nextActionAt == nextActionAt) {
        return;
    }
    // An action that is overdue has just been tried.
    constexpr milliseconds minDelay{1};
    held.nextActionAt = nextActionAt;
    held.timer.expires_at(timerTime(std::max(nextActionAt, now() + minDelay)));
    held.timer.async_wait([this, workspace](const boost::system::error_code &error) {
        holding *const waiting = findHolding(workspace);
        if (!error && waiting != nullptr) {
            waiting->nextActionAt.reset();
            advance(workspace, *waiting);
        }
    });
}

asio::awaitable<quota_decision> quota_exchange::admit(const workspace &workspace, time_point deadline)
{
    const std::string name = workspace.name;
    if (!m_limits.contains(name)) {
        co_return quota_decision();
    }
    holding &held = openHolding(name);
    const quota_decision decision = held.account.request(now(), m_random);
    if (decision.verdict != quota_verdict::waiting) {
        advance(name, held);
        co_return decision;
    }
    const auto request = std::make_shared<waiting_request>(m_context);
    request->timer.expires_at(std::min(deadline, steady::now() + quota_account::maxWait));
    held.waiting.push_back(request);
    advance(name, held);
    if (!request->decision) {
        co_await request->timer.async_wait(asTuple);
    }
    if (!request->decision) {
        // It has waited for as long as it may. While it is undecided, its workspace has a holding.
        holding &waited = *findHolding(name);
        std::erase(waited.waiting, request);
        request->decision = waited.account.endWaiting(now(), m_random);
    }
    co_return *request->decision;
}

void quota_exchange::giveBack(const std::string &workspace, const quota_decision &decision)
{
    if (holding *const held = findHolding(workspace)) {
        held->account.giveBack(decision, now());
        advance(workspace, *held);
    }
}

void quota_exchange::logRejection(const std::string &id, const std::string &workspace, const quota_decision &decision)
{
    log_line line("quota_exceeded");
    line.add("id", id).add("workspace", workspace);
    if (const holding *const held = findHolding(workspace)) {
        const quota_account &account = held->account;
        const auto responseAt = account.lastResponseAt();
        line.add("limit_per_s", account.limit().requestsPerSecond)
            .add("issuer", account.issuer())
            .add("stock", account.stock(now()))
            .add("answer_age_ms", responseAt ? toMilliseconds(now() - *responseAt) : -1.0)
            .add("demand_per_s", account.demand(now()));
    }
    line.add("config", m_configVersion).add("retry_after_ms", decision.retryAfter.count());
    m_rejections.add({id, line.text()});
    if (m_logLimiter.tryAcquire(now())) {
        line.add("not_logged", m_logLimiter.takeSuppressed()).info();
    }
}

const request_history &quota_exchange::rejections() const
{
    return m_rejections;
}

quota_status quota_exchange::status() const
{
    const time_point at = now();
    quota_status status;
    status.totals = m_issuer.totals();
    status.issuedShare = m_issuedShare;
    for (const auto &[name, limit] : m_limits) {
        workspace_quota quota;
        quota.workspace = name;
        quota.limit = limit;
        quota.bucketTokens = m_issuer.tokens(name, at);
        const std::vector<std::string> order = m_order.orderFor(name);
        quota.issuer = order.empty() ? std::string() : order.front();
        if (const auto found = m_holdings.find(name); found != m_holdings.end()) {
            const quota_account &account = found->second.account;
            quota.issuer = account.issuer().empty() ? quota.issuer : account.issuer();
            quota.stock = account.stock(at);
            quota.demand = account.demand(at);
            quota.admitted = account.totals().admitted;
            quota.rejected = account.totals().rejected;
            quota.fallback = account.totals().fallback;
            if (account.lastResponseAt()) {
                quota.responseAge = std::chrono::floor<milliseconds>(at - *account.lastResponseAt());
            }
        }
        status.workspaces.push_back(std::move(quota));
    }
    return status;
}

}
