#include "cardamomdeck/dispatch/zoneshares.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Largest rise per update: 0.25 per second, so that a zone that has lost a third of its servers gets help in 2 s. */
constexpr double maxRise = 0.05;

/**
 * Largest fall per update while the shortage becomes smaller: 0.02 per second. No request leaves needlessly meanwhile,
 * because those that find a free server stay.
 */
constexpr double maxFall = 0.004;

/** Largest fall per update if the helping zones become busy; they must not be worse off. */
constexpr double maxWithdrawal = 0.05;

/** Time for which a share is kept after the shortage was last that large: half of a wave of 13 s. */
constexpr milliseconds holdTime{6500};

/** Share of a zone's room that one zone takes per update; others may be about to use the rest. */
constexpr double roomShare = 0.3;

/** Share for a zone whose load is not known; its probes tell the load. */
constexpr double explorationShare = 0.05;

/** The helping zone must be less busy than the own one by at least this. */
constexpr double minAdvantage = 0.07;

/**
 * Utilization above which a longer queue does not raise the share further: the queue is the result of a past shortage,
 * and its length says little about the present one.
 */
constexpr double maxUtilization = 1.25;

/** Smallest share of kept requests that is reckoned with; it bounds the estimate of the demand. */
constexpr double minKeptShare = 0.2;

/** Shares below this are none. */
constexpr double minShare = 0.005;

template<typename map>
double sumOf(const map &values)
{
    double sum = 0;
    for (const auto &[zone, value] : values) {
        sum += value;
    }
    return sum;
}

/** Moves @p value to @p goal by at most @p rise or @p fall. */
double approach(double value, double goal, double rise, double fall)
{
    return std::clamp(goal, value - fall, value + rise);
}

double keptShareOf(const overflow_inputs &inputs)
{
    return std::clamp(inputs.keptShare, minKeptShare, 1.0);
}

/** Slots of a helping zone that are free for others, or negative if it has to be relieved. */
double roomOf(const zone_capacity &capacity, double homeUtilization)
{
    const double limit = std::min(zone_share_controller::helperLimit, homeUtilization - minAdvantage);
    return (limit - capacity.load->utilization) * capacity.slots;
}

}

bool zone_share_controller::hasRoom(const zone_capacity &capacity)
{
    return capacity.slots > 0 && (!capacity.load || capacity.load->utilization < helperLimit);
}

double zone_share_controller::neededShare(const overflow_inputs &inputs, time_point now)
{
    const double current = share();
    const double utilization = inputs.home.load->utilization;
    const bool leaving = current > 0;
    if (!leaving && utilization < startUtilization) {
        return 0.0;
    }
    const double demand = std::min(utilization, maxUtilization) / keptShareOf(inputs);
    const double needed = std::clamp(1.0 - targetUtilization / std::max(demand, targetUtilization), 0.0, 1.0);
    if (needed >= current) {
        m_holdUntil = now + holdTime;
        return std::min(needed, current + maxRise);
    }
    return now < m_holdUntil ? current : std::max(needed, current - maxFall);
}

void zone_share_controller::update(const overflow_inputs &inputs, time_point now)
{
    if (now < m_nextUpdateAt) {
        return;
    }
    m_nextUpdateAt = now + updatePeriod;
    m_hasHomeServer = inputs.home.slots > 0;
    m_rooms.clear();
    for (const auto &[zone, capacity] : inputs.others) {
        const double freeShare = capacity.load ? std::max(0.05, 1.0 - capacity.load->utilization) : 0.5;
        m_rooms[zone] = freeShare * capacity.slots;
    }
    if (!m_hasHomeServer || !inputs.home.load) {
        // Without a report of the own zone, nothing is known of a shortage.
        m_shares.clear();
        return;
    }
    const double needed = neededShare(inputs, now);
    // Requests that wait take no slots.
    const double usedSlots
        = std::clamp(inputs.home.load->utilization, 0.01, 1.0) / keptShareOf(inputs) * inputs.home.slots;
    std::map<std::string, double> limits;
    for (const auto &[zone, capacity] : inputs.others) {
        const auto sent = inputs.leftShares.find(zone);
        const double sentShare = sent == inputs.leftShares.end() ? 0.0 : sent->second;
        double limit = explorationShare;
        if (capacity.load) {
            const double room = roomOf(capacity, std::max(inputs.home.load->utilization, startUtilization));
            limit = sentShare + roomShare * room / usedSlots;
        }
        limits[zone] = std::clamp(limit, 0.0, 1.0);
    }
    const double totalLimit = sumOf(limits);
    const double total = std::min(needed, totalLimit);
    std::map<std::string, double> shares;
    for (const auto &[zone, limit] : limits) {
        const double goal = totalLimit > 0 ? total * limit / totalLimit : 0.0;
        const auto found = m_shares.find(zone);
        const double next = approach(found == m_shares.end() ? 0.0 : found->second, goal, maxRise, maxWithdrawal);
        if (next >= minShare || goal >= minShare) {
            shares[zone] = next;
        }
    }
    m_shares = std::move(shares);
}

double zone_share_controller::share() const
{
    return m_hasHomeServer ? std::min(1.0, sumOf(m_shares)) : 1.0;
}

const std::map<std::string, double> &zone_share_controller::sharesByZone() const
{
    return m_hasHomeServer ? m_shares : m_rooms;
}

std::optional<std::string> zone_share_controller::chooseZone(random_source &random) const
{
    const auto &weights = sumOf(m_shares) > 0 && m_hasHomeServer ? m_shares : m_rooms;
    double position = randomUnit(random) * sumOf(weights);
    for (const auto &[zone, weight] : weights) {
        position -= weight;
        if (position < 0) {
            return zone;
        }
    }
    return std::nullopt;
}

}
