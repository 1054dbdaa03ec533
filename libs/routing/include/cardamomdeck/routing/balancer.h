/**
 * @file
 * Chooses a back end for each attempt of one service.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/model/resource.h"
#include "cardamomdeck/routing/backendstats.h"
#include "cardamomdeck/routing/choicestrategy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cardamomdeck {

using backend_handle = std::shared_ptr<backend_stats>;

/** Follows a quantile of a changing stream of latencies with constant memory. */
class latency_quantile
{
public:
    /** Follows quantile @p quantile, in (0, 1). */
    explicit latency_quantile(double quantile);

    /** Adds a latency in milliseconds. */
    void add(double latencyMs);

    /** The estimate in milliseconds; 0 before the first value. */
    double value() const;

private:
    double m_quantile;
    double m_value = 0;
    bool m_empty = true;
};

/** Whether back ends that fail are ejected; the baselines of the benchmark do without. */
enum class ejection_mode {
    off,
    on,
};

/** Back ends of one service as one entry sees them; makes no I/O. */
class balancer
{
public:
    /** A balancer of an entry in @p zone. */
    balancer(service_spec service, std::string zone, ejection_mode ejection = ejection_mode::on);

    /** Takes over a changed service. */
    void setService(service_spec service);

    /** The service as configured. */
    const service_spec &service() const;

    /** Sets the configured back ends; statistics of those that remain are kept. */
    void setBackends(const std::vector<backend_spec> &backends, time_point now);

    /** Back ends that are leaving and receive no new work; replaces the earlier set. */
    void setShuttingDown(std::set<std::string> leaving);

    /**
     * A back end for an attempt at @p now, none of @p excluded; null when
     * there is none. Ejected back ends are used only when no other is left.
     */
    backend_handle choose(std::span<const backend_handle> excluded, time_point now, random_source &random);

    /** Notes the start of an attempt. */
    void attemptStarted(const backend_handle &backend, time_point now);

    /** Notes the end of an attempt; may eject the back end. */
    void attemptEnded(const backend_handle &backend, const attempt_summary &report);

    /** Latency in milliseconds after which a hedge is worth its cost. */
    double hedgeDelayMs() const;

    /**
     * False when the back ends, by the median of their reports, have no free
     * slots: then a hedge would add load where load is the cause. A median is
     * not moved by single late or wrong reports.
     */
    bool shouldHedge(time_point now) const;

    /** All configured back ends. */
    const std::map<std::string, backend_handle> &backends() const;

private:
    std::vector<backend_stats *>
    usableBackends(std::span<const backend_handle> excluded, time_point now, bool withEjected);
    void ejectIfFailing(const backend_handle &backend, time_point now);
    bool canEject(time_point now) const;

    service_spec m_service;
    std::string m_zone;
    ejection_mode m_ejection;
    std::map<std::string, backend_handle> m_backends;
    std::set<std::string> m_shuttingDown;
    latency_quantile m_medianLatency;
    latency_quantile m_tailLatency;
    std::uint64_t m_requestCount = 0;
};

}
