#include "servicestate.h"

#include <algorithm>
#include <set>

namespace cardamomdeck {

namespace {

/** True for the same process at the same address; its recorded state is still valid. */
bool isSameIncarnation(const backend_server &a, const backend_server &b)
{
    return a.startUnixMs == b.startUnixMs && a.address == b.address;
}

/** Difference between the clocks of two VMs, and time in which a record reaches an entry. */
constexpr milliseconds maxStartUncertainty{2000};

/** Earliest time at which @p server may have started, by the clock of this entry. */
time_point earliestStart(const backend_server &server)
{
    const milliseconds age(std::max<std::int64_t>(0, unixMilliseconds() - server.startUnixMs));
    return steady::now() - age - maxStartUncertainty;
}

}

withheld_backends
withheldBackends(const service_state &service, const zone_set &evacuatedZones, time_point now, const zone_filter &zones)
{
    withheld_backends withheld;
    for (const auto &[id, backend] : service.backends) {
        if (!zones.allows(backend->server.zone)) {
            continue;
        }
        const auto pausedUntil = backend->availability->pausedUntil(now);
        if (evacuatedZones.contains(backend->server.zone)) {
            ++withheld.evacuated;
        } else if (backend->availability->leavingSince() || backend->availability->needsProbe()) {
            ++withheld.leaving;
        } else if (pausedUntil) {
            ++withheld.paused;
            withheld.earliestEnd = std::min(withheld.earliestEnd.value_or(*pausedUntil), *pausedUntil);
        } else if (backend->isCold(now)) {
            ++withheld.cold;
        }
    }
    return withheld;
}

service_table::service_table(std::string entryName, retry_limits limits, double probesPerBackend)
    : m_entryName(std::move(entryName))
    , m_retryLimits(limits)
    , m_probesPerBackend(probesPerBackend)
{
}

void service_table::applyView(const fleet_view &view)
{
    if (view.config == m_config && view.backends == m_backends) {
        return;
    }
    if (view.config != m_config) {
        removeUnconfigured(view);
    }
    m_config = view.config;
    m_backends = view.backends;
    for (const auto &[name, profile] : view.config->services) {
        service_state_ptr &service = m_services[name];
        if (!service) {
            service = std::make_shared<service_state>(m_retryLimits, m_probesPerBackend);
        }
        service->profile = profile;
    }
    static const std::map<std::string, backend_server> noBackends;
    for (auto &[name, service] : m_services) {
        const auto found = view.backends->find(name);
        const auto &servers = found == view.backends->end() ? noBackends : found->second;
        std::map<std::string, backend_state_ptr> updated;
        for (const auto &[id, server] : servers) {
            const auto existing = service->backends.find(id);
            const bool keepsState
                = existing != service->backends.end() && isSameIncarnation(existing->second->server, server);
            backend_state_ptr &state = updated[id];
            if (keepsState) {
                state = existing->second;
            } else {
                state = std::make_shared<backend_state>(
                    server, m_entryName, m_availability.find(id, server.startUnixMs, earliestStart(server)));
                if (existing != service->backends.end()) {
                    state->limited = existing->second->limited;
                }
            }
            state->server = server;
            recordWarmupReport(*state, *service, !keepsState);
        }
        service->backends = std::move(updated);
    }
}

void service_table::removeUnconfigured(const fleet_view &view)
{
    std::erase_if(m_services, [&](const auto &item) {
        return !view.config->services.contains(item.first) && !view.backends->contains(item.first);
    });
    std::set<std::string> rules;
    for (const traffic_rule &rule : view.config->rules) {
        rules.insert(rule.name);
    }
    for (const auto &[name, service] : m_services) {
        std::erase_if(service->ruleServiceTimeMs, [&](const auto &item) { return !rules.contains(item.first); });
    }
}

service_state_ptr service_table::find(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

bool service_table::hasServingBackend(const std::string &id) const
{
    return std::ranges::any_of(m_services, [&](const auto &item) {
        const auto found = item.second->backends.find(id);
        return found != item.second->backends.end() && !found->second->availability->leavingSince();
    });
}

void service_table::removeUnusedAnnouncements(time_point now)
{
    m_availability.removeUnused(now);
}

const std::map<std::string, service_state_ptr> &service_table::services() const
{
    return m_services;
}

}
