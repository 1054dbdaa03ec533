/**
 * @file
 * Load balancer: chooses a backend server for each attempt of a request to one service.
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

/** Estimates a quantile of a stream of latencies in constant memory. */
class latency_quantile
{
public:
    /** Creates an estimator of quantile @p quantile, in (0, 1). */
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

/** Whether failing backend servers are ejected; the baselines of the benchmark use no ejection. */
enum class ejection_mode {
    off,
    on,
};

/** Load balancer of one entry for the backend servers of one service; performs no I/O. */
class balancer
{
public:
    /** Creates a load balancer for an entry in availability zone @p zone. */
    balancer(service_spec service, std::string zone, ejection_mode ejection = ejection_mode::on);

    /** Replaces the configuration of the service. */
    void setService(service_spec service);

    /** The configuration of the service. */
    const service_spec &service() const;

    /** Sets the configured backend servers; keeps the statistics of those that were configured before. */
    void setBackends(const std::vector<backend_spec> &backends, time_point now);

    /** Replaces the set of backend servers, by name, that are shutting down and get no new requests. */
    void setShuttingDown(std::set<std::string> names);

    /**
     * Chooses a backend server for an attempt at @p now, except those in
     * @p excluded; returns null if none is usable. Ejected servers are chosen
     * only if no other is usable.
     */
    backend_handle choose(std::span<const backend_handle> excluded, time_point now, random_source &random);

    /** Records the start of an attempt. */
    void attemptStarted(const backend_handle &backend, time_point now);

    /** Records the end of an attempt; may eject the backend server. */
    void attemptEnded(const backend_handle &backend, const attempt_summary &summary);

    /** Delay in milliseconds after which a hedged attempt is worth its cost; a high quantile of the latency. */
    double hedgeDelayMs() const;

    /**
     * Returns false if the median of the reported loads shows no free slot: the
     * service is overloaded, and a hedged attempt would add to the load. The
     * median is robust against single late or wrong reports. Returns true if
     * fewer than half of the servers have a recent report.
     */
    bool shouldHedge(time_point now) const;

    /** All configured backend servers, by name. */
    const std::map<std::string, backend_handle> &backends() const;

private:
    std::vector<backend_stats *>
    usableBackends(std::span<const backend_handle> excluded, time_point now, bool includeEjected);
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
