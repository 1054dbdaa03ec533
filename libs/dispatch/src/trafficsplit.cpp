#include "cardamomdeck/dispatch/trafficsplit.h"

#include <algorithm>
#include <cstddef>

namespace cardamomdeck {

traffic_split::traffic_split(std::vector<weighted_service> services, random_source &random)
    : m_services(std::move(services))
{
    for (const weighted_service &weightedService : m_services) {
        m_totalWeight += weightedService.weight;
    }
    for (const weighted_service &weightedService : m_services) {
        m_currentWeights.push_back(randomUnit(random) * weightedService.weight);
    }
}

const std::string &traffic_split::next()
{
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        m_currentWeights[i] += m_services[i].weight;
    }
    const auto best = std::ranges::max_element(m_currentWeights);
    *best -= m_totalWeight;
    return m_services[static_cast<std::size_t>(best - m_currentWeights.begin())].service;
}

const std::vector<weighted_service> &traffic_split::services() const
{
    return m_services;
}

}
