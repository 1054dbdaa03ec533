#include "zonereplay.h"

#include "cardamomdeck/dispatch/admission.h"
#include "cardamomdeck/dispatch/candidateorder.h"
#include "cardamomdeck/dispatch/proberound.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cardamomdeck {

namespace {

constexpr milliseconds updatePeriod{400};
constexpr milliseconds relayTime{800};
constexpr microseconds homeDelay{500};
constexpr microseconds crossingDelay{1500};
constexpr double objectiveMs = 1000;
constexpr double timeoutMs = 3000;
constexpr double probesPerSecond = 60;
const crossing_cost replayCost{3.0, 400.0};
const time_point startTime = time_point() + std::chrono::hours(1);

std::string zoneName(std::size_t zone)
{
    return std::string(1, static_cast<char>('a' + zone));
}

nanoseconds fromMilliseconds(double value)
{
    return std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(value));
}

}

double zone_outcome::crossedShare(std::size_t first, std::size_t end) const
{
    std::size_t requestCount = 0;
    std::size_t crossedCount = 0;
    for (std::size_t second = first; second < end && second < requestsInSecond.size(); ++second) {
        requestCount += requestsInSecond[second];
        crossedCount += second < crossedInSecond.size() ? crossedInSecond[second] : 0;
    }
    return requestCount == 0 ? 0.0 : static_cast<double>(crossedCount) / static_cast<double>(requestCount);
}

struct zone_replay::request
{
    std::size_t zone = 0;
    const replay_rule *rule = nullptr;
    time_point arrivedAt;
    bool crossed = false;
};

struct zone_replay::server
{
    std::string id;
    std::size_t zone = 0;
    bool usable = true;
    std::uint32_t running = 0;
    std::deque<request_ptr> waiting;
};

struct zone_replay::entry
{
    std::string name;
    std::size_t zone = 0;
    zone_overflow overflow;
    probe_rate_limiter limiter{probesPerSecond};
};

zone_replay::zone_replay(const replay_scenario &scenario, leave_method method)
    : m_scenario(scenario)
    , m_method(method)
    , m_random(scenario.seed)
    , m_now(startTime)
    , m_outcomes(scenario.zones.size())
{
    for (std::size_t zone = 0; zone < scenario.zones.size(); ++zone) {
        for (std::size_t i = 0; i < scenario.zones[zone].servers; ++i) {
            m_servers.push_back(
                std::make_unique<server>(server{zoneName(zone) + std::to_string(i), zone, true, 0, {}}));
        }
        for (std::size_t i = 0; i < scenario.entriesPerZone; ++i) {
            m_entries.push_back(std::make_unique<entry>(
                entry{"e" + zoneName(zone) + std::to_string(i), zone, zone_overflow(zoneName(zone), replayCost)}));
        }
    }
}

zone_replay::~zone_replay() = default;

void zone_replay::at(time_point time, std::function<void()> action)
{
    m_events.push({time, ++m_sequence, std::move(action)});
}

std::vector<zone_outcome> zone_replay::run()
{
    const time_point endTime = startTime + fromMilliseconds(m_scenario.durationS * 1000);
    for (std::size_t zone = 0; zone < m_scenario.zones.size(); ++zone) {
        scheduleArrival(zone);
        const auto setLost = [this, zone](bool lost) {
            std::size_t left = m_scenario.zones[zone].lostServers;
            for (const auto &each : m_servers) {
                if (each->zone == zone && left > 0) {
                    --left;
                    each->usable = !lost;
                    each->running = 0;
                    each->waiting.clear();
                }
            }
        };
        at(startTime + seconds(20), [setLost] { setLost(true); });
        at(startTime + seconds(60), [setLost] { setLost(false); });
    }
    at(m_now, [this] { exchangeReports(); });
    at(m_now, [this] { recordShares(); });
    while (!m_events.empty() && m_events.top().time < endTime) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.action();
    }
    return m_outcomes;
}

void zone_replay::scheduleArrival(std::size_t zone)
{
    const double elapsedS = toMilliseconds(m_now - startTime) / 1000;
    const double rate = m_scenario.zones[zone].rate(elapsedS);
    const double pauseMs = -std::log(1.0 - randomUnit(m_random)) / std::max(rate, 0.1) * 1000;
    at(m_now + fromMilliseconds(std::min(pauseMs, 100.0)), [this, zone, real = pauseMs <= 100.0] {
        if (real) {
            handleArrival(zone);
        }
        scheduleArrival(zone);
    });
}

std::map<std::string, double> zone_replay::slotsByZone() const
{
    std::map<std::string, double> slots;
    for (const auto &each : m_servers) {
        slots[zoneName(each->zone)] += each->usable ? m_scenario.slots : 0.0;
    }
    return slots;
}

std::vector<zone_replay::server *>
zone_replay::usableServers(const entry &self, bool sameZone, const std::string &firstZone)
{
    std::vector<server *> usable;
    std::vector<candidate_rank> ranks;
    for (const auto &each : m_servers) {
        if (each->usable && (each->zone == self.zone) == sameZone) {
            usable.push_back(each.get());
            ranks.push_back({rendezvousScore(self.name, each->id), false});
        }
    }
    std::vector<server *> ordered;
    for (const std::size_t index : orderCandidates(ranks, m_random)) {
        ordered.push_back(usable[index]);
    }
    std::stable_partition(
        ordered.begin(), ordered.end(), [&](const server *each) { return zoneName(each->zone) == firstZone; });
    return ordered;
}

std::optional<backend_choice>
zone_replay::probe(entry &self, std::vector<server *> &candidates, std::size_t count, const choice_request &choice)
{
    const std::size_t granted
        = self.limiter.acquireUpTo(std::min(count, candidates.size()), m_servers.size(), m_entries.size(), m_now);
    for (std::size_t i = 0; i < granted; ++i) {
        server *const probed = candidates[i];
        const load_report report{
            probed->running, static_cast<std::uint32_t>(probed->waiting.size()), m_scenario.slots, 1.0};
        self.overflow.loads().recordProbe(zoneName(probed->zone), report, m_now);
        backend_candidate candidate;
        candidate.report = report;
        candidate.sameZone = probed->zone == self.zone;
        m_probed.push_back(probed);
        m_candidates.push_back(candidate);
    }
    candidates.erase(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(granted));
    return chooseBackend(m_candidates, choice, m_random);
}

leave_decision zone_replay::leaveAtFixedCost(entry &, const overflow_request &, const replay_rule &)
{
    return {leave_reason::shortage, "", 0.12 * objectiveMs, false};
}

leave_decision zone_replay::leaveByOverflow(entry &self, const overflow_request &overflow, const replay_rule &)
{
    return self.overflow.decide(overflow, m_random);
}

leave_decision zone_replay::leaveByExpectedWait(entry &self, const overflow_request &overflow, const replay_rule &rule)
{
    std::map<std::string, double> weights;
    double total = 0;
    for (const auto &[zone, slots] : slotsByZone()) {
        const auto load = self.overflow.loads().load(zone, m_now);
        const double waitMs = overflow.choice.serviceTimes.averageMs * std::pow(load ? load->utilization : 0.5, 8);
        const double crossingMs = zone == zoneName(self.zone) ? 0.0 : replayCost.ofRequest(rule.bytes);
        weights[zone] = slots > 0 ? 1.0 / (1.0 + waitMs + crossingMs) : 0.0;
        total += weights[zone];
    }
    double position = randomUnit(m_random) * total;
    for (const auto &[zone, weight] : weights) {
        position -= weight;
        if (position < 0 && zone != zoneName(self.zone)) {
            return {leave_reason::shortage, zone, replayCost.ofRequest(rule.bytes), false};
        }
        if (position < 0) {
            break;
        }
    }
    return {};
}

leave_decision zone_replay::decide(entry &self, const overflow_request &overflow, const replay_rule &rule)
{
    using decide_function = leave_decision (zone_replay::*)(entry &, const overflow_request &, const replay_rule &);
    static constexpr std::array<decide_function, 4> methods{&zone_replay::leaveAtFixedCost,
                                                            &zone_replay::leaveByOverflow,
                                                            &zone_replay::leaveByOverflow,
                                                            &zone_replay::leaveByExpectedWait};
    return (this->*methods.at(static_cast<std::size_t>(m_method)))(self, overflow, rule);
}

std::optional<backend_choice>
zone_replay::probeOtherZones(entry &self, const leave_decision &leave, choice_request &choice)
{
    std::vector<server *> candidates = usableServers(self, false, leave.firstZone);
    choice.crossingCostMs = leave.crossingCostMs;
    probe(self, candidates, probeRounds().back().maxProbes, choice);
    for (std::size_t i = m_candidates.size(); leave.needsFreeSlot && i-- > 0;) {
        if (!m_candidates[i].sameZone && m_candidates[i].report->running >= m_scenario.slots) {
            m_candidates.erase(m_candidates.begin() + static_cast<std::ptrdiff_t>(i));
            m_probed.erase(m_probed.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    return chooseBackend(m_candidates, choice, m_random);
}

void zone_replay::handleArrival(std::size_t zone)
{
    const auto second = static_cast<std::size_t>(toMilliseconds(m_now - startTime) / 1000);
    zone_outcome &outcome = m_outcomes[zone];
    outcome.requestsInSecond.resize(std::max(outcome.requestsInSecond.size(), second + 1));
    ++outcome.requestsInSecond[second];
    ++outcome.requests;
    entry &self = *m_entries[zone * m_scenario.entriesPerZone + randomIndex(m_random, m_scenario.entriesPerZone)];
    double position = randomUnit(m_random);
    const replay_rule *rule = &m_scenario.rules.back();
    double averageMs = 0;
    for (auto each = m_scenario.rules.rbegin(); each != m_scenario.rules.rend(); ++each) {
        averageMs += each->share * each->serviceMs;
    }
    for (const replay_rule &each : m_scenario.rules) {
        position -= each.share;
        if (position < 0) {
            rule = &each;
            break;
        }
    }
    self.overflow.recordRequest(rule->name, rule->serviceMs, rule->priority, m_now);
    self.overflow.recordBytes(rule->name, rule->bytes);
    self.overflow.update(slotsByZone(), m_now);
    choice_request choice{{rule->serviceMs, averageMs}, objectiveMs, timeoutMs, 1.0, std::nullopt};
    m_probed.clear();
    m_candidates.clear();
    std::optional<backend_choice> best;
    std::vector<server *> candidates = usableServers(self, true, "");
    const bool hasHomeServer = !candidates.empty();
    overflow_request overflow{rule->name, rule->priority, 0, choice, std::nullopt, hasHomeServer};
    leave_decision leave;
    const bool usesOverflow = m_method == leave_method::own_probes || m_method == leave_method::peer_totals;
    if (usesOverflow) {
        leave = self.overflow.decideFirst(overflow, m_random);
        if (leave.mayLeave()) {
            best = probeOtherZones(self, leave, choice);
        }
    }
    for (const probe_round &round : probeRounds()) {
        const bool isDecided = leave.mayLeave() && !hasNoAcceptableBackend(best, choice);
        if (round.sameZone && !isDecided && round.isNeeded(best, choice)) {
            best = probe(self, candidates, round.maxProbes, choice);
        }
    }
    if (hasNoAcceptableBackend(best, choice) && !leave.mayLeave()) {
        overflow.homeChoice = best;
        leave = decide(self, overflow, *rule);
        if (leave.mayLeave()) {
            best = probeOtherZones(self, leave, choice);
        }
    }
    if (!best && !hasHomeServer) {
        return;
    }
    server &target = best ? *m_probed[best->index] : *usableServers(self, true, "").front();
    if (best && !admit(best, choice, rule->priority, 0, m_random).admitted) {
        return;
    }
    self.overflow.recordSent(zoneName(target.zone), rule->serviceMs, m_now);
    send(self, target, *rule, m_now);
}

void zone_replay::send(entry &self, server &target, const replay_rule &rule, time_point arrivedAt)
{
    const auto sent = std::make_shared<request>(request{self.zone, &rule, arrivedAt, target.zone != self.zone});
    if (sent->crossed) {
        const auto second = static_cast<std::size_t>(toMilliseconds(m_now - startTime) / 1000);
        zone_outcome &outcome = m_outcomes[self.zone];
        outcome.crossedInSecond.resize(std::max(outcome.crossedInSecond.size(), second + 1));
        ++outcome.crossedInSecond[second];
        ++outcome.crossed;
        ++outcome.crossedByRule[rule.name];
        outcome.crossedBytes += rule.bytes;
    }
    at(m_now + (sent->crossed ? crossingDelay : homeDelay), [this, &target, sent] { enqueue(target, sent); });
}

void zone_replay::enqueue(server &target, const request_ptr &sent)
{
    if (!target.usable || target.waiting.size() >= m_scenario.queue) {
        return;
    }
    if (target.running < m_scenario.slots) {
        start(target, sent);
    } else {
        target.waiting.push_back(sent);
    }
}

void zone_replay::start(server &target, const request_ptr &sent)
{
    ++target.running;
    // Service times vary by half of their mean.
    const double load = 1.0 + 0.4 * target.running / m_scenario.slots;
    const double durationMs = sent->rule->serviceMs / 1.4 * load * (0.5 + randomUnit(m_random));
    at(m_now + fromMilliseconds(durationMs), [this, &target, sent] {
        if (!target.usable || target.running == 0) {
            return;
        }
        --target.running;
        const time_point answeredAt = m_now + (sent->crossed ? crossingDelay : homeDelay);
        if (answeredAt - sent->arrivedAt <= fromMilliseconds(objectiveMs)) {
            const auto second = static_cast<std::size_t>(toMilliseconds(sent->arrivedAt - startTime) / 1000);
            zone_outcome &outcome = m_outcomes[sent->zone];
            outcome.inTimeInSecond.resize(std::max(outcome.inTimeInSecond.size(), second + 1));
            ++outcome.inTimeInSecond[second];
            ++outcome.inTime;
        }
        if (!target.waiting.empty()) {
            const request_ptr next = target.waiting.front();
            target.waiting.pop_front();
            start(target, next);
        }
    });
}

void zone_replay::exchangeReports()
{
    at(m_now + updatePeriod, [this] { exchangeReports(); });
    if (m_method == leave_method::own_probes) {
        return;
    }
    for (const auto &sender : m_entries) {
        const std::string zone = zoneName(sender->zone);
        const auto observed = sender->overflow.loads().observedLoad(zone, m_now);
        const auto mean = sender->overflow.loads().load(zone, m_now);
        const bool isFirst = &sender == &m_entries[sender->zone * m_scenario.entriesPerZone];
        for (const auto &receiver : m_entries) {
            if (receiver == sender) {
                continue;
            }
            if (receiver->zone == sender->zone && observed) {
                receiver->overflow.loads().recordReport(
                    zone, sender->name, observed->utilization, observed->observedAt, m_now);
            } else if (receiver->zone != sender->zone && mean && isFirst) {
                at(m_now + relayTime, [this, zone, mean, target = receiver.get()] {
                    target->overflow.loads().recordReport(zone, "", mean->utilization, mean->observedAt, m_now);
                });
            }
        }
    }
}

void zone_replay::recordShares()
{
    for (std::size_t zone = 0; zone < m_outcomes.size(); ++zone) {
        double sum = 0;
        for (const auto &each : m_entries) {
            sum += each->zone == zone ? each->overflow.state().share : 0.0;
        }
        m_outcomes[zone].shareInSecond.push_back(sum / static_cast<double>(m_scenario.entriesPerZone));
    }
    at(m_now + seconds(1), [this] { recordShares(); });
}

}
