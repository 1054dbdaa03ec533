#include "quotareplay.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cardamomdeck::replay {

quota_limit limitFor(double rate)
{
    constexpr double limitFactor = 1.6;
    return {limitFactor * rate, limitFactor * rate};
}

std::vector<workload> usualLoad(std::size_t entries, std::uint64_t seed)
{
    constexpr std::size_t workspaces = 85;
    constexpr double largest = 250;
    constexpr double exponent = 1.2;
    random_source random(seed);
    std::vector<workload> loads;
    for (std::size_t rank = 1; rank <= workspaces; ++rank) {
        workload load;
        load.workspace = "w" + std::to_string(rank);
        load.rate = largest / std::pow(static_cast<double>(rank), exponent);
        const auto callers = std::min<std::size_t>(entries, 1 + static_cast<std::size_t>(load.rate / 8));
        double sum = 0;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            load.callers.emplace_back(randomIndex(random, entries), 0.2 + randomUnit(random));
            sum += load.callers.back().second;
        }
        for (auto &[entry, share] : load.callers) {
            share /= sum;
        }
        loads.push_back(load);
    }
    return loads;
}

const quota_fleet::result &quota_fleet::resultOf(const std::string &workspace) const
{
    return m_results.at(workspace);
}

double quota_fleet::refusedShare(time_point since, time_point until) const
{
    double refused = 0;
    double all = 0;
    for (const auto &[workspace, counted] : m_results) {
        const double refusals = static_cast<double>(refusedBetween(workspace, since, until));
        refused += refusals;
        all += refusals + static_cast<double>(admittedBetween(workspace, since, until));
    }
    return all == 0 ? 0 : refused / all;
}

std::size_t quota_fleet::admittedBetween(const std::string &workspace, time_point from, time_point to) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_results.at(workspace).admitted, [&](time_point at) { return at >= from && at < to; }));
}

std::size_t quota_fleet::refusedBetween(const std::string &workspace, time_point from, time_point to) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_results.at(workspace).refused, [&](time_point at) { return at >= from && at < to; }));
}

double quota_fleet::excessOf(const std::string &workspace, time_point since) const
{
    const quota_limit &limit = m_limits.at(workspace);
    const double permitted
        = (limit.requestsPerSecond * std::chrono::duration<double>(window).count() + limit.burst) * (1 + excess)
          + slack;
    const auto found = m_results.find(workspace);
    if (found == m_results.end()) {
        return -permitted;
    }
    const std::vector<time_point> &admitted = found->second.admitted;
    std::size_t first = 0;
    double largest = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= window) {
            ++first;
        }
        if (admitted[last] >= since) {
            largest = std::max(largest, static_cast<double>(last - first + 1));
        }
    }
    return largest - permitted;
}

double quota_fleet::largestExcess(time_point since) const
{
    double largest = -1e9;
    for (const auto &[workspace, limit] : m_limits) {
        largest = std::max(largest, excessOf(workspace, since));
    }
    return largest;
}

std::uint64_t quota_fleet::messages() const
{
    return m_messages;
}

std::uint64_t quota_fleet::messageBytes() const
{
    return m_messageBytes;
}

const quota_limit_table &quota_fleet::limits() const
{
    return m_limits;
}

}
