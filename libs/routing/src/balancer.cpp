#include "cardamomdeck/routing/balancer.h"

#include <algorithm>

namespace cardamomdeck {

namespace {

/** Number of consecutive failures after which a backend server is ejected. */
constexpr std::uint32_t ejectionThreshold = 3;

/** Duration of the first ejection; doubles with each further ejection. */
constexpr milliseconds baseEjectionTime{100};

/** Maximum number of times that the ejection time is doubled. */
constexpr std::uint32_t maxBackoffExponent = 6;

/** Maximum share of a service's backend servers that are ejected at once; one of several always may be. */
constexpr double maxEjectedShare = 0.4;

/** Step of a quantile estimate, as a share of the estimate. */
constexpr double quantileStep = 0.05;

constexpr double medianQuantile = 0.5;
constexpr double tailQuantile = 0.95;

/** Maximum age of the load reports that the median load is computed from. */
constexpr milliseconds maxReportAge{1000};

/** Typical latency in milliseconds that is assumed before the first response. */
constexpr double initialTypicalLatencyMs = 1.0;

bool contains(std::span<const backend_handle> handles, const backend_handle &handle)
{
    return std::ranges::find(handles, handle) != handles.end();
}

}

latency_quantile::latency_quantile(double quantile)
    : m_quantile(quantile)
{
}

void latency_quantile::add(double latencyMs)
{
    if (m_empty) {
        m_value = latencyMs;
        m_empty = false;
        return;
    }
    const double step = std::max(m_value, 0.01) * quantileStep;
    if (latencyMs > m_value) {
        m_value += step * m_quantile;
    } else {
        m_value -= step * (1.0 - m_quantile);
    }
}

double latency_quantile::value() const
{
    return m_value;
}

balancer::balancer(service_spec service, std::string zone, ejection_mode ejection)
    : m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_ejection(ejection)
    , m_medianLatency(medianQuantile)
    , m_tailLatency(tailQuantile)
{
}

void balancer::setService(service_spec service)
{
    m_service = std::move(service);
}

const service_spec &balancer::service() const
{
    return m_service;
}

void balancer::setBackends(const std::vector<backend_spec> &backends, time_point now)
{
    std::map<std::string, backend_handle> updatedBackends;
    for (const backend_spec &spec : backends) {
        const bool crossZone = spec.zone != m_zone;
        const auto existing = m_backends.find(spec.name);
        if (existing == m_backends.end()) {
            updatedBackends[spec.name] = std::make_shared<backend_stats>(spec, crossZone, now);
            continue;
        }
        existing->second->reconfigure(spec, crossZone, now);
        updatedBackends[spec.name] = existing->second;
    }
    m_backends = std::move(updatedBackends);
}

void balancer::setShuttingDown(std::set<std::string> names)
{
    m_shuttingDown = std::move(names);
}

backend_handle balancer::choose(std::span<const backend_handle> excluded, time_point now, random_source &random)
{
    auto candidates = usableBackends(excluded, now, false);
    if (candidates.empty()) {
        candidates = usableBackends(excluded, now, true);
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const double typicalMs = m_medianLatency.value() > 0 ? m_medianLatency.value() : initialTypicalLatencyMs;
    const choice_context context = {m_service, now, typicalMs, random, m_requestCount++};
    const std::size_t index = findStrategy(m_service.strategy).choose(candidates, context);
    return m_backends.at(candidates[index]->spec().name);
}

void balancer::attemptStarted(const backend_handle &backend, time_point now)
{
    backend->attemptStarted(now);
}

void balancer::attemptEnded(const backend_handle &backend, const attempt_summary &summary)
{
    backend->attemptEnded(summary);
    if (summary.kind == attempt_outcome::success) {
        const double latencyMs = toMilliseconds(summary.finishedAt - summary.startedAt);
        m_medianLatency.add(latencyMs);
        m_tailLatency.add(latencyMs);
    }
    if (summary.kind == attempt_outcome::failed || summary.kind == attempt_outcome::refused) {
        ejectIfFailing(backend, summary.finishedAt);
    }
}

double balancer::hedgeDelayMs() const
{
    return m_tailLatency.value();
}

bool balancer::shouldHedge(time_point now) const
{
    std::vector<std::uint32_t> loads;
    for (const auto &[name, backend] : m_backends) {
        if (const auto load = backend->reportedLoad(now - maxReportAge)) {
            loads.push_back(*load);
        }
    }
    if (loads.size() * 2 < m_backends.size()) {
        return true;
    }
    const auto median = loads.begin() + static_cast<std::ptrdiff_t>(loads.size() / 2);
    std::ranges::nth_element(loads, median);
    return *median < m_service.slotsPerBackend;
}

const std::map<std::string, backend_handle> &balancer::backends() const
{
    return m_backends;
}

std::vector<backend_stats *>
balancer::usableBackends(std::span<const backend_handle> excluded, time_point now, bool includeEjected)
{
    std::vector<backend_stats *> usable;
    usable.reserve(m_backends.size());
    for (const auto &[name, backend] : m_backends) {
        if (backend->spec().draining || m_shuttingDown.contains(name) || contains(excluded, backend)) {
            continue;
        }
        if (backend->inFlight() >= m_service.maxConnectionsPerBackend) {
            continue;
        }
        // After an ejection, a backend server must complete one request before it gets a second one.
        const bool onTrial = backend->isOnTrial() && backend->inFlight() > 0;
        if (!includeEjected && (backend->isEjected(now) || onTrial)) {
            continue;
        }
        usable.push_back(backend.get());
    }
    return usable;
}

void balancer::ejectIfFailing(const backend_handle &backend, time_point now)
{
    if (m_ejection == ejection_mode::off || backend->isEjected(now)) {
        return;
    }
    const bool failedTrial = backend->isOnTrial();
    if (!failedTrial && (backend->consecutiveFailures() < ejectionThreshold || !canEject(now))) {
        return;
    }
    const std::uint32_t doublings = std::min(backend->ejections(), maxBackoffExponent);
    backend->eject(now + baseEjectionTime * (1U << doublings));
}

bool balancer::canEject(time_point now) const
{
    const auto ejected = std::ranges::count_if(
        m_backends, [&](const auto &item) { return item.second->isEjected(now) || item.second->isOnTrial(); });
    const double maxEjected = std::max(1.0, maxEjectedShare * static_cast<double>(m_backends.size()));
    return static_cast<double>(ejected + 1) <= maxEjected && m_backends.size() > 1;
}

}
