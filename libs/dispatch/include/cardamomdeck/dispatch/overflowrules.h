/**
 * @file
 * Distributes the share of a service's requests that may leave an availability zone over the rules.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/dispatch/movingaverage.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomdeck {

/** What crossing zones costs. */
struct crossing_cost
{
    /** Time in milliseconds that crossing adds to a request. */
    double addedMs = 0;
    /** Latency in milliseconds that one megabyte across zones is worth to the operator. */
    double perMegabyteMs = 0;

    bool operator==(const crossing_cost &) const = default;

    /** Cost in milliseconds of a request with @p bytes in both directions. */
    double ofRequest(double bytes) const;
};

/** Requests of one rule, as this entry has seen them recently. */
struct rule_traffic
{
    /** Slot time that the requests take, in milliseconds per second. */
    double slotMsPerSecond = 0;
    double serviceMs = 0;
    /** Mean bytes of a request and its response. */
    double bytes = 0;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;

    bool operator==(const rule_traffic &) const = default;
};

/**
 * Shares of the rules' requests that may leave, so that together they free @p share of the slot time. Rules leave in
 * the order of the cost for each millisecond of slot time that is freed; urgent ones before others. One rule at most
 * has a share between 0 and 1.
 */
std::map<std::string, double>
sharesByRule(const std::map<std::string, rule_traffic> &traffic, double share, const crossing_cost &cost);

/** Measures the traffic of the rules of one service at this entry. */
class rule_traffic_meter
{
public:
    /** Records a request at @p now. */
    void recordRequest(const std::string &rule, double serviceMs, std::uint32_t priority, time_point now);

    /** Records the size of a finished request and its response. */
    void recordBytes(const std::string &rule, double bytes);

    /** Mean bytes of a request of @p rule and its response; 0 before the first one. */
    double bytesOf(const std::string &rule) const;

    /** The traffic by rule; rules without requests for half a minute are removed. */
    std::map<std::string, rule_traffic> traffic(time_point now);

private:
    struct rule_state
    {
        double slotMs = 0;
        double serviceMs = 0;
        std::uint32_t priority = 0;
        moving_average bytes{0.05};
        time_point lastRequestAt;
    };

    std::map<std::string, rule_state> m_rules;
};

}
