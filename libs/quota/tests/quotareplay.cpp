#include "quotareplay.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck::replay {

namespace {

constexpr milliseconds housekeepingPeriod{100};

}

struct quota_fleet::node
{
    struct waiter
    {
        std::uint64_t number = 0;
        time_point arrivedAt;
    };

    struct holding
    {
        quota_account account;
        std::deque<waiter> waiting;
        time_point scheduledAt = time_point::max();
    };

    fleet_member member;
    bool up = false;
    std::uint64_t incarnation = 0;
    unsigned part = 0;
    bool storeContact = true;
    time_point contactLostAt = time_point::max();
    time_point startedAt;
    time_point pausedUntil;
    time_point pausedAt;
    std::vector<fleet_member> view;
    issuer_order order;
    bool membersKnown = false;
    std::unique_ptr<quota_issuer> issuer;
    fleet_reach reach;
    fleet_size_estimate size;
    quota_limit_table limits;
    std::map<std::string, holding> holdings;
    std::vector<std::pair<std::size_t, quota_message>> inbox;
    time_point lastTickAt;
    time_point tickAt;
};

quota_fleet::quota_fleet(fleet_options options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        m_nodes.push_back(std::make_unique<node>());
        node &entry = *m_nodes.back();
        entry.member = {"entry-" + std::to_string(index), "zone-" + std::to_string(index % 3), ""};
        entry.member.ready = true;
        entry.member.readCapacity = static_cast<std::uint32_t>(1 + randomIndex(m_random, 5));
        m_numbers[entry.member.name] = index;
    }
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        startNode(index, !m_options.justStarted);
    }
}

quota_fleet::~quota_fleet() = default;

double quota_fleet::unit()
{
    return randomUnit(m_random);
}

milliseconds quota_fleet::between(milliseconds earliest, milliseconds latest)
{
    return earliest
           + milliseconds(static_cast<std::int64_t>(unit() * static_cast<double>((latest - earliest).count())));
}

void quota_fleet::schedule(time_point at, std::function<void()> run)
{
    m_events.push_back({at, ++m_lastEvent, std::move(run)});
    std::push_heap(m_events.begin(), m_events.end());
}

time_point quota_fleet::now() const
{
    return m_now;
}

void quota_fleet::run(milliseconds span)
{
    const time_point end = m_now + span;
    while (!m_events.empty() && m_events.front().at <= end) {
        std::pop_heap(m_events.begin(), m_events.end());
        const event next = std::move(m_events.back());
        m_events.pop_back();
        m_now = std::max(m_now, next.at);
        next.run();
    }
    m_now = end;
}

void quota_fleet::startNode(std::size_t index, bool running)
{
    node &entry = *m_nodes[index];
    entry.up = true;
    ++entry.incarnation;
    entry.startedAt = running ? m_now - seconds(3600) : m_now;
    // Unix time and monotonic time differ by a constant.
    entry.member.startUnixMs = std::chrono::duration_cast<milliseconds>(entry.startedAt.time_since_epoch()).count()
                               + (running ? -static_cast<std::int64_t>(index) * 60'000 : 0);
    entry.issuer = std::make_unique<quota_issuer>(entry.member.name, m_options.policy);
    entry.reach = fleet_reach();
    entry.size = fleet_size_estimate();
    entry.limits.clear();
    entry.holdings.clear();
    entry.inbox.clear();
    entry.view = {entry.member};
    entry.order = issuer_order(entry.view);
    entry.membersKnown = false;
    entry.pausedUntil = {};
    entry.lastTickAt = m_now;
    entry.tickAt = {};
    if (running) {
        schedule(m_now, [this, index] { updateView(index); });
    } else {
        // A starting entry first learns of some entries from the view of the one that it asked.
        schedule(m_now + between(milliseconds(5), milliseconds(50)), [this, index] { updateView(index); });
        updateViewsLater(milliseconds(50), milliseconds(500));
    }
    installLimits(index);
    const std::uint64_t incarnation = entry.incarnation;
    schedule(m_now + between(milliseconds(0), housekeepingPeriod),
             [this, index, incarnation] { keepHouse(index, incarnation); });
}

void quota_fleet::updateViewsLater(milliseconds earliest, milliseconds latest)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        schedule(m_now + between(earliest, latest), [this, index] { updateView(index); });
    }
}

void quota_fleet::updateView(std::size_t index)
{
    node &entry = *m_nodes[index];
    if (!entry.up) {
        return;
    }
    entry.view.clear();
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        const auto &other = m_nodes[number];
        if (other->up && other->part == entry.part && !m_hidden.contains({number, index})) {
            entry.view.push_back(other->member);
        }
    }
    entry.membersKnown = true;
    entry.size.record(entry.view.size(), m_now);
    entry.issuer->setMembership(makeIssuerMembership(entry.view, entry.member, entry.membersKnown), m_now);
    entry.order = issuer_order(entry.view);
    for (auto &[workspace, held] : entry.holdings) {
        held.account.setIssuers(entry.order.orderFor(workspace));
        held.account.setFleetSize(entry.size.entries(m_now));
    }
}

void quota_fleet::keepHouse(std::size_t index, std::uint64_t incarnation)
{
    node &entry = *m_nodes[index];
    if (!entry.up || entry.incarnation != incarnation) {
        return;
    }
    if (entry.pausedUntil > m_now) {
        schedule(entry.pausedUntil, [this, index, incarnation] { keepHouse(index, incarnation); });
        return;
    }
    entry.size.record(entry.view.size(), m_now);
    if (entry.order.isCandidate(entry.member.name)) {
        std::vector<std::string> peers;
        for (const fleet_member &member : entry.view) {
            if (member.name != entry.member.name) {
                peers.push_back(member.name);
            }
        }
        if (const auto sample = entry.reach.nextSample(peers, m_now, m_random)) {
            for (const std::string &peer : sample->entries) {
                send(index, {peer, issuer_query{entry.member.name, "", sample->number, query_purpose::status}});
            }
        }
        const bool contact = m_now - entry.contactLostAt < milliseconds(2200);
        entry.issuer->setShare(entry.reach.issuedShare({entry.view.size(), entry.size.entries(m_now)}, contact, m_now),
                               m_now);
    }
    sendAll(index, entry.issuer->tick(m_now));
    entry.lastTickAt = m_now;
    scheduleTick(index);
}

void quota_fleet::scheduleTick(std::size_t index)
{
    node &entry = *m_nodes[index];
    const time_point at = entry.issuer->nextTickAt(entry.lastTickAt);
    if (at < entry.tickAt || entry.tickAt <= m_now) {
        entry.tickAt = at;
        schedule(at, [this, index, at, incarnation = entry.incarnation] {
            if (m_nodes[index]->tickAt == at) {
                keepHouse(index, incarnation);
            }
        });
    }
}

void quota_fleet::installLimits(std::size_t index)
{
    node &entry = *m_nodes[index];
    if (!entry.up) {
        return;
    }
    entry.limits = m_limits;
    entry.issuer->setLimits(m_limits, m_now);
    std::erase_if(entry.holdings,
                  [this](const auto &item) { return !m_limits.contains(item.first) && item.second.waiting.empty(); });
    for (auto &[workspace, held] : entry.holdings) {
        if (const auto found = m_limits.find(workspace); found != m_limits.end()) {
            held.account.setLimit(found->second);
        }
    }
}

void quota_fleet::setLimits(const quota_limit_table &limits, milliseconds spread)
{
    m_limits = limits;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (spread == milliseconds(0)) {
            installLimits(index);
        } else {
            schedule(m_now + between(milliseconds(0), spread), [this, index] { installLimits(index); });
        }
    }
}

void quota_fleet::addLoad(const workload &load)
{
    m_loads[load.workspace] = {load};
    for (std::size_t caller = 0; caller < load.callers.size(); ++caller) {
        scheduleArrival(load.workspace, caller);
    }
}

void quota_fleet::addUsualLoad(std::size_t workspaces)
{
    quota_limit_table limits;
    std::vector<workload> loads = usualLoad(m_options.entries, m_options.seed);
    loads.resize(std::min(workspaces, loads.size()));
    for (const workload &load : loads) {
        limits[load.workspace] = limitFor(load.rate);
    }
    setLimits(limits);
    for (const workload &load : loads) {
        addLoad(load);
    }
}

void quota_fleet::setLoadFactor(const std::string &workspace, double factor)
{
    load_state &load = m_loads[workspace];
    load.factor = factor;
    ++load.generation;
    for (std::size_t caller = 0; caller < load.load.callers.size(); ++caller) {
        scheduleArrival(workspace, caller);
    }
}

void quota_fleet::scheduleArrival(const std::string &workspace, std::size_t caller)
{
    const load_state &load = m_loads[workspace];
    const double rate = load.load.rate * load.factor * load.load.callers[caller].second;
    if (rate <= 0) {
        return;
    }
    const double gapSeconds = -std::log(1.0 - unit()) / rate;
    const auto gap = std::chrono::round<nanoseconds>(std::chrono::duration<double>(std::min(gapSeconds, 1e6)));
    schedule(m_now + gap,
             [this, workspace, caller, generation = load.generation] { arrive(workspace, caller, generation); });
}

void quota_fleet::arrive(const std::string &workspace, std::size_t caller, std::uint64_t generation)
{
    load_state &load = m_loads[workspace];
    if (load.generation != generation) {
        return;
    }
    std::size_t &entry = load.load.callers[caller].first;
    constexpr int maxTries = 20;
    for (int tries = 0; tries < maxTries && !m_nodes[entry]->up; ++tries) {
        // The caller's connection has ended, and it uses another entry.
        entry = randomIndex(m_random, m_nodes.size());
    }
    scheduleArrival(workspace, caller);
    request(entry, workspace);
}

void quota_fleet::request(std::size_t index, const std::string &workspace)
{
    node &entry = *m_nodes[index];
    if (entry.pausedUntil > m_now) {
        schedule(entry.pausedUntil + milliseconds(1), [this, index, workspace] { request(index, workspace); });
        return;
    }
    if (!entry.up) {
        return;
    }
    if (!entry.limits.contains(workspace)) {
        record(index, workspace, {}, m_now);
        return;
    }
    auto found = entry.holdings.find(workspace);
    if (found == entry.holdings.end()) {
        const auto firstNumber = static_cast<std::uint64_t>(entry.startedAt.time_since_epoch().count());
        found = entry.holdings
                    .try_emplace(workspace,
                                 node::holding{quota_account(entry.member.name,
                                                             workspace,
                                                             entry.limits[workspace],
                                                             m_options.policy,
                                                             firstNumber,
                                                             entry.startedAt,
                                                             m_random),
                                               {}})
                    .first;
        found->second.account.setIssuers(entry.order.orderFor(workspace));
        found->second.account.setFleetSize(entry.size.entries(m_now));
    }
    const quota_decision decision = found->second.account.request(m_now, m_random);
    if (decision.verdict != quota_verdict::waiting) {
        record(index, workspace, decision, m_now);
    } else {
        const std::uint64_t number = ++m_lastEvent;
        found->second.waiting.push_back({number, m_now});
        const std::uint64_t incarnation = entry.incarnation;
        schedule(m_now + quota_account::maxWait, [this, index, workspace, number, incarnation] {
            node &waitingEntry = *m_nodes[index];
            const auto held = waitingEntry.holdings.find(workspace);
            if (!waitingEntry.up || waitingEntry.incarnation != incarnation || held == waitingEntry.holdings.end()
                || held->second.waiting.empty() || held->second.waiting.front().number != number) {
                return;
            }
            const time_point arrivedAt = held->second.waiting.front().arrivedAt;
            held->second.waiting.pop_front();
            record(index, workspace, held->second.account.endWaiting(m_now, m_random), arrivedAt);
        });
    }
    advance(index, workspace);
}

void quota_fleet::advance(std::size_t index, const std::string &workspace)
{
    node &entry = *m_nodes[index];
    const auto found = entry.holdings.find(workspace);
    if (!entry.up || found == entry.holdings.end()) {
        return;
    }
    node::holding &held = found->second;
    const quota_account::step step = held.account.advance(m_now, m_random);
    for (const quota_decision &decision : step.decisions) {
        record(index, workspace, decision, held.waiting.front().arrivedAt);
        held.waiting.pop_front();
    }
    const time_point nextAt = held.account.nextActionAt();
    if (nextAt != time_point::max() && nextAt != held.scheduledAt) {
        held.scheduledAt = nextAt;
        const std::uint64_t incarnation = entry.incarnation;
        schedule(std::max(nextAt, m_now + milliseconds(1)), [this, index, workspace, incarnation, nextAt] {
            node &waitingEntry = *m_nodes[index];
            const auto item = waitingEntry.holdings.find(workspace);
            if (waitingEntry.incarnation == incarnation && item != waitingEntry.holdings.end()
                && item->second.scheduledAt == nextAt) {
                item->second.scheduledAt = time_point::max();
                advance(index, workspace);
            }
        });
    }
    if (step.message) {
        send(index, *step.message);
    }
}

void quota_fleet::returnTokensAt(time_point at)
{
    m_returnTokensAt = at;
}

void quota_fleet::record(std::size_t index,
                         const std::string &workspace,
                         const quota_decision &decision,
                         time_point arrivedAt)
{
    if (decision.verdict == quota_verdict::admitted && m_now < m_returnTokensAt) {
        schedule(m_returnTokensAt, [this, index, workspace, decision] {
            const auto held = m_nodes[index]->holdings.find(workspace);
            if (held != m_nodes[index]->holdings.end()) {
                held->second.account.giveBack(decision, m_now);
            }
        });
        return;
    }
    result &counted = m_results[workspace];
    (decision.verdict == quota_verdict::admitted ? counted.admitted : counted.refused).push_back(m_now);
    counted.longestWait = std::max(counted.longestWait, std::chrono::ceil<milliseconds>(m_now - arrivedAt));
}

bool quota_fleet::canReach(std::size_t from, std::size_t to) const
{
    const bool isLinkCut = std::ranges::any_of(m_cutLinks, [from, to](const auto &link) {
        return link == std::pair(from, to) || link == std::pair(to, from);
    });
    return !isLinkCut && m_nodes[from]->part == m_nodes[to]->part;
}

void quota_fleet::sendAll(std::size_t from, const quota_messages &messages)
{
    for (const addressed_quota_message &message : messages) {
        send(from, message);
    }
}

void quota_fleet::send(std::size_t from, const addressed_quota_message &message)
{
    const std::size_t to = m_numbers.at(message.receiver);
    if (to == from) {
        // Not recursive, as the sender may be in the middle of a step.
        schedule(m_now, [this, from, content = message.message] { deliver(from, from, content); });
        return;
    }
    ++m_messages;
    constexpr std::size_t datagramHeaderBytes = 28;
    m_messageBytes += encode(message.message).size() + datagramHeaderBytes;
    if (!canReach(from, to) || unit() < m_options.lossRate) {
        return;
    }
    const unsigned copies = unit() < m_options.duplicationRate ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        const bool isLate = unit() < m_options.lateRate;
        const auto delay
            = isLate ? nanoseconds(between(milliseconds(30), milliseconds(2000)))
                     : std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(
                         0.1 + unit() * (m_nodes[from]->member.zone == m_nodes[to]->member.zone ? 0.1 : 0.8)));
        schedule(m_now + delay, [this, from, to, content = message.message] { deliver(from, to, content); });
    }
}

void quota_fleet::deliver(std::size_t from, std::size_t to, const quota_message &message)
{
    node &entry = *m_nodes[to];
    if (!entry.up || !canReach(from, to)) {
        return;
    }
    if (entry.pausedUntil > m_now) {
        entry.inbox.emplace_back(from, message);
        return;
    }
    if (const auto *const grant = std::get_if<token_grant>(&message)) {
        const auto found = entry.holdings.find(grant->workspace);
        if (found != entry.holdings.end()) {
            found->second.account.recordGrant(*grant, m_now, m_random);
            advance(to, grant->workspace);
        }
        return;
    }
    if (const auto *const status = std::get_if<issuer_status>(&message); status && status->workspace.empty()) {
        entry.reach.recordResponse(status->sender, status->number);
        return;
    }
    sendAll(to, entry.issuer->handle(message, m_now));
    scheduleTick(to);
}

void quota_fleet::kill(std::size_t entry)
{
    m_nodes[entry]->up = false;
    for (auto &[workspace, held] : m_nodes[entry]->holdings) {
        held.waiting.clear();
    }
    updateViewsLater(milliseconds(1700), milliseconds(3200));
}

void quota_fleet::start(std::size_t entry)
{
    startNode(entry, false);
}

void quota_fleet::pause(std::size_t index, milliseconds span)
{
    node &entry = *m_nodes[index];
    entry.pausedUntil = m_now + span;
    schedule(entry.pausedUntil, [this, index, span] {
        node &resumed = *m_nodes[index];
        std::vector<std::pair<std::size_t, quota_message>> waiting;
        waiting.swap(resumed.inbox);
        if (span < milliseconds(2000)) {
            for (const auto &[from, message] : waiting) {
                deliver(from, index, message);
            }
        }
    });
}

void quota_fleet::split(const std::vector<std::size_t> &cutOff, bool keepStoreContact)
{
    for (const std::size_t index : cutOff) {
        m_nodes[index]->part = 1;
        if (!keepStoreContact) {
            m_nodes[index]->contactLostAt = m_now;
        }
    }
    updateViewsLater(milliseconds(3200), milliseconds(8000));
}

void quota_fleet::heal()
{
    for (const auto &entry : m_nodes) {
        entry->part = 0;
        entry->contactLostAt = m_storeAvailable ? time_point::max() : entry->contactLostAt;
    }
    m_cutLinks.clear();
    updateViewsLater(milliseconds(100), milliseconds(1500));
}

void quota_fleet::cutLink(std::size_t a, std::size_t b)
{
    m_cutLinks.emplace_back(a, b);
}

void quota_fleet::hide(std::size_t entry, const std::vector<std::size_t> &viewers)
{
    for (const std::size_t viewer : viewers) {
        m_hidden.emplace(entry, viewer);
    }
    updateViewsLater(milliseconds(0), milliseconds(400));
}

void quota_fleet::setStoreAvailable(bool available)
{
    m_storeAvailable = available;
    for (const auto &entry : m_nodes) {
        entry->contactLostAt = available ? time_point::max() : m_now;
    }
}

std::vector<std::size_t> quota_fleet::issuersOf(const std::string &workspace) const
{
    std::vector<fleet_member> alive;
    for (const auto &entry : m_nodes) {
        if (entry->up) {
            alive.push_back(entry->member);
        }
    }
    std::vector<std::size_t> numbers;
    for (const std::string &name : issuer_order(alive).orderFor(workspace)) {
        numbers.push_back(m_numbers.at(name));
    }
    return numbers;
}

std::size_t quota_fleet::issuerCount(const std::string &workspace) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_nodes, [&workspace](const auto &entry) { return entry->up && entry->issuer->isIssuer(workspace); }));
}

}
