/**
 * @file
 * Distributes the requests of a rule among its services by weight.
 */
#pragma once

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/fleet/trafficconfig.h"

#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * Smooth weighted round robin: in any sequence of requests, each service's share
 * is close to its weight. The initial state is random, so that entries that start
 * at the same time do not choose services in the same order.
 */
class traffic_split
{
public:
    /** Creates a split among @p services, which must not be empty. */
    traffic_split(std::vector<weighted_service> services, random_source &random);

    /** Returns the name of the service for the next request, and advances the split. */
    const std::string &next();

    /** The services and weights that were passed to the constructor. */
    const std::vector<weighted_service> &services() const;

private:
    std::vector<weighted_service> m_services;
    std::vector<double> m_currentWeights;
    double m_totalWeight = 0;
};

}
