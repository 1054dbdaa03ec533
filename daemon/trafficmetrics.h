/**
 * @file
 * Counters and latency quantiles of the traffic thread.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"

// The quantile headers of Boost 1.81 need this header but don't include it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cardamomdeck {

/** Metrics of one service. */
class service_metrics
{
public:
    service_metrics();

    /** Records a finished request with its result and latency. */
    void requestEnded(result_code code, double latencyMs);

    /** Appends the metrics of service @p name in Prometheus text format. */
    void append(std::string &text, const std::string &name) const;

    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t probes = 0;
    /** Requests kept from servers that are leaving or paused, after the choice or because no other server was left. */
    std::uint64_t withheldRequests = 0;

private:
    using latency_statistics = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile,
                                   boost::accumulators::tag::count,
                                   boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>;

    std::map<result_code, std::uint64_t> m_requestsByCode;
    latency_statistics m_latency;
};

/** Appends one sample line. */
void appendMetric(std::string &text, const std::string &name, const std::string &labels, double value);

}
