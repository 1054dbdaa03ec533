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
 * Smooth weighted round robin: over any run of requests each service's share
 * is close to its weight. Starts at a random point, so that entries that start
 * together do not take turns together.
 */
class traffic_split
{
public:
    /** A split among @p services, which must not be empty. */
    traffic_split(std::vector<weighted_service> services, random_source &random);

    /** The service of the next request. */
    const std::string &next();

    /** The services and weights that were given. */
    const std::vector<weighted_service> &services() const;

private:
    std::vector<weighted_service> m_services;
    std::vector<double> m_currentWeights;
    double m_totalWeight = 0;
};

}
