#include "cardamomdeck/dispatch/overflowrules.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cardamomdeck {

namespace {

/** Time constant of the traffic of a rule; its mix changes more slowly than its load. */
constexpr double trafficTimeConstantMs = 5000.0;

/** Time without requests after which a rule is forgotten. */
constexpr milliseconds unusedRuleTimeout{30'000};

constexpr double bytesPerMegabyte = 1e6;
constexpr double millisecondsPerSecond = 1000.0;

double decay(time_point since, time_point now)
{
    return std::exp(-std::max(0.0, toMilliseconds(now - since)) / trafficTimeConstantMs);
}

/** Cost for each millisecond of slot time that is freed, weighted by urgency. */
double leavingCost(const rule_traffic &traffic, const crossing_cost &cost)
{
    return cost.ofRequest(traffic.bytes) / std::max(1.0, traffic.serviceMs) * (1.0 + traffic.priority);
}

}

double crossing_cost::ofRequest(double bytes) const
{
    return addedMs + perMegabyteMs * bytes / bytesPerMegabyte;
}

std::map<std::string, double>
sharesByRule(const std::map<std::string, rule_traffic> &traffic, double share, const crossing_cost &cost)
{
    double total = 0;
    std::vector<std::pair<double, std::string>> order;
    for (const auto &[rule, ruleTraffic] : traffic) {
        total += ruleTraffic.slotMsPerSecond;
        order.emplace_back(leavingCost(ruleTraffic, cost), rule);
    }
    std::ranges::sort(order);
    double missing = share * total;
    std::map<std::string, double> shares;
    for (const auto &[ruleCost, rule] : order) {
        const double available = traffic.at(rule).slotMsPerSecond;
        shares[rule] = available > 0 ? std::clamp(missing / available, 0.0, 1.0) : share;
        missing -= available;
    }
    return shares;
}

void rule_traffic_meter::recordRequest(const std::string &rule,
                                       double serviceMs,
                                       std::uint32_t priority,
                                       time_point now)
{
    rule_state &state = m_rules[rule];
    state.slotMs = state.slotMs * decay(state.lastRequestAt, now) + serviceMs;
    state.serviceMs = serviceMs;
    state.priority = priority;
    state.lastRequestAt = now;
}

void rule_traffic_meter::recordBytes(const std::string &rule, double bytes)
{
    if (const auto found = m_rules.find(rule); found != m_rules.end()) {
        found->second.bytes.add(bytes);
    }
}

double rule_traffic_meter::bytesOf(const std::string &rule) const
{
    const auto found = m_rules.find(rule);
    return found == m_rules.end() ? 0.0 : found->second.bytes.valueOr(0.0);
}

std::map<std::string, rule_traffic> rule_traffic_meter::traffic(time_point now)
{
    std::erase_if(m_rules, [&](const auto &item) { return item.second.lastRequestAt + unusedRuleTimeout < now; });
    std::map<std::string, rule_traffic> result;
    for (const auto &[rule, state] : m_rules) {
        const double slotMs = state.slotMs * decay(state.lastRequestAt, now);
        result[rule] = {slotMs * millisecondsPerSecond / trafficTimeConstantMs,
                        state.serviceMs,
                        state.bytes.valueOr(0.0),
                        state.priority};
    }
    return result;
}

}
