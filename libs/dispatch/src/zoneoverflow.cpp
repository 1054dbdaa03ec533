#include "cardamomdeck/dispatch/zoneoverflow.h"

#include "cardamomdeck/dispatch/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomdeck {

namespace {

/** Time constant of the share that was sent to other zones; long enough for entries with few requests. */
constexpr double sentTimeConstantMs = 2000.0;

constexpr std::array<std::string_view, leaveReasonCount> reasonNames{"none", "no_server", "shortage", "deadline"};

}

std::string_view nameOf(leave_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

zone_overflow::zone_overflow(std::string homeZone, crossing_cost cost)
    : m_homeZone(std::move(homeZone))
    , m_cost(cost)
{
}

zone_load_table &zone_overflow::loads()
{
    return m_loads;
}

const zone_load_table &zone_overflow::loads() const
{
    return m_loads;
}

bool zone_overflow::isUpdateDue(time_point now) const
{
    return now >= m_nextUpdateAt;
}

double zone_overflow::recent_work::valueAt(time_point now) const
{
    return slotMs * std::exp(-std::max(0.0, toMilliseconds(now - updatedAt)) / sentTimeConstantMs);
}

void zone_overflow::recent_work::add(double addedMs, time_point now)
{
    slotMs = valueAt(now) + addedMs;
    updatedAt = now;
}

void zone_overflow::setSentShares(overflow_inputs &inputs, time_point now) const
{
    double total = 0;
    for (const auto &[zone, sent] : m_sentWork) {
        total += sent.valueAt(now);
    }
    // Retries are sent more than once.
    total = std::max(total, m_requestedWork.valueAt(now));
    if (total <= 0) {
        return;
    }
    inputs.keptShare = 0;
    for (const auto &[zone, sent] : m_sentWork) {
        double &share = zone == m_homeZone ? inputs.keptShare : inputs.leftShares[zone];
        share = sent.valueAt(now) / total;
    }
}

void zone_overflow::update(const std::map<std::string, double> &slotsByZone, time_point now)
{
    if (!isUpdateDue(now)) {
        return;
    }
    m_nextUpdateAt = now + zone_share_controller::updatePeriod;
    m_loads.expire(now);
    overflow_inputs inputs;
    for (const auto &[zone, slots] : slotsByZone) {
        if (slots <= 0) {
            continue;
        }
        zone_capacity &capacity = zone == m_homeZone ? inputs.home : inputs.others[zone];
        capacity = {slots, m_loads.load(zone, now)};
    }
    setSentShares(inputs, now);
    m_controller.update(inputs, now);
    m_state.share = inputs.others.empty() ? 0.0 : m_controller.share();
    m_state.shareByZone = m_controller.sharesByZone();
    m_state.shareByRule = sharesByRule(m_traffic.traffic(now), m_state.share, m_cost);
    m_state.inputs = std::move(inputs);
}

void zone_overflow::recordRequest(const std::string &rule, double serviceMs, std::uint32_t priority, time_point now)
{
    m_traffic.recordRequest(rule, serviceMs, priority, now);
    m_requestedWork.add(serviceMs, now);
}

std::string zone_overflow::chooseZoneWithRoom(random_source &random) const
{
    const std::string zone = m_controller.chooseZone(random).value_or("");
    const auto found = m_state.inputs.others.find(zone);
    if (found != m_state.inputs.others.end() && zone_share_controller::hasRoom(found->second)) {
        return zone;
    }
    for (const auto &[other, capacity] : m_state.inputs.others) {
        if (zone_share_controller::hasRoom(capacity)) {
            return other;
        }
    }
    return "";
}

bool zone_overflow::pays(const overflow_request &request, const std::string &zone, double costMs) const
{
    if (!request.homeChoice) {
        return true;
    }
    const auto found = m_state.inputs.others.find(zone);
    const double slowdown
        = found != m_state.inputs.others.end() && found->second.load ? found->second.load->slowdown : 1.0;
    const double awayMs = request.choice.serviceTimes.requestMs * slowdown;
    return request.homeChoice->expectedLatencyMs - awayMs > costMs;
}

leave_decision zone_overflow::leaveByShare(const overflow_request &request, random_source &random) const
{
    const auto share = m_state.shareByRule.find(request.rule);
    if (share == m_state.shareByRule.end() || randomUnit(random) >= share->second) {
        return {};
    }
    const std::string zone = chooseZoneWithRoom(random);
    const double costMs = m_cost.ofRequest(m_traffic.bytesOf(request.rule));
    if (zone.empty() || !pays(request, zone, costMs)) {
        return {};
    }
    return {leave_reason::shortage, zone, costMs, true};
}

leave_decision zone_overflow::leaveWithoutServer(random_source &random) const
{
    return {leave_reason::no_server, m_controller.chooseZone(random).value_or(""), m_cost.addedMs, false};
}

leave_decision zone_overflow::decideFirst(const overflow_request &request, random_source &random) const
{
    if (!request.hasHomeServer) {
        return leaveWithoutServer(random);
    }
    const std::optional<zone_load> &home = m_state.inputs.home.load;
    const bool isBusy = home && home->utilization >= zone_share_controller::startUtilization;
    return isBusy ? leaveByShare(request, random) : leave_decision();
}

leave_decision zone_overflow::decide(const overflow_request &request, random_source &random) const
{
    if (!request.hasHomeServer) {
        // Servers that were probed in the meantime did not respond.
        return leaveWithoutServer(random);
    }
    const leave_decision byShare = leaveByShare(request, random);
    if (byShare.mayLeave()) {
        return byShare;
    }
    const bool isRejected
        = request.homeChoice
          && !admit(request.homeChoice, request.choice, request.priority, request.mostUrgentPriority, random).admitted;
    if (!isRejected) {
        return {};
    }
    const std::string zone = chooseZoneWithRoom(random);
    if (zone.empty()) {
        return {};
    }
    // The bytes do not matter here: a response in time is worth more than the traffic that it costs.
    return {leave_reason::deadline, zone, m_cost.addedMs, true};
}

void zone_overflow::recordSent(const std::string &zone, double serviceMs, time_point now)
{
    m_sentWork[zone].add(serviceMs, now);
}

void zone_overflow::recordBytes(const std::string &rule, double bytes)
{
    m_traffic.recordBytes(rule, bytes);
}

const overflow_state &zone_overflow::state() const
{
    return m_state;
}

}
