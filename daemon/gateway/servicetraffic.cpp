#include "servicetraffic.h"

#include <algorithm>
#include <set>

namespace cardamomdeck {

namespace {

/** The same process at the same place; its history still tells something. */
bool isSameIncarnation(const backend_server &a, const backend_server &b)
{
    return a.bornMs == b.bornMs && a.address == b.address;
}

}

traffic_directory::traffic_directory(std::string entry, repeat_limits limits, double probesPerBackend)
    : m_entry(std::move(entry))
    , m_limits(limits)
    , m_probesPerBackend(probesPerBackend)
{
}

void traffic_directory::install(const fleet_view &view)
{
    if (view.config == m_config && view.backends == m_backends) {
        return;
    }
    if (view.config != m_config) {
        forgetRemoved(view);
    }
    m_config = view.config;
    m_backends = view.backends;
    for (const auto &[name, profile] : view.config->services) {
        service_traffic_ptr &service = m_services[name];
        if (!service) {
            service = std::make_shared<service_traffic>(m_limits, m_probesPerBackend);
        }
        service->profile = profile;
    }
    static const std::map<std::string, backend_server> noBackends;
    for (auto &[name, service] : m_services) {
        const auto found = view.backends->find(name);
        const auto &servers = found == view.backends->end() ? noBackends : found->second;
        std::map<std::string, backend_traffic_ptr> next;
        for (const auto &[id, server] : servers) {
            const auto present = service->backends.find(id);
            const bool keeps = present != service->backends.end() && isSameIncarnation(present->second->server, server);
            next[id] = keeps ? present->second : std::make_shared<backend_traffic>(server, m_entry);
            next[id]->server = server;
        }
        service->backends = std::move(next);
    }
}

void traffic_directory::forgetRemoved(const fleet_view &view)
{
    std::erase_if(m_services, [&](const auto &item) {
        return !view.config->services.contains(item.first) && !view.backends->contains(item.first);
    });
    std::set<std::string> rules;
    for (const traffic_rule &rule : view.config->rules) {
        rules.insert(rule.name);
    }
    for (const auto &[name, service] : m_services) {
        std::erase_if(service->ruleWorkMs, [&](const auto &item) { return !rules.contains(item.first); });
    }
}

service_traffic_ptr traffic_directory::find(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

bool traffic_directory::hasBackend(const std::string &id) const
{
    return std::ranges::any_of(m_services, [&](const auto &item) { return item.second->backends.contains(id); });
}

const std::map<std::string, service_traffic_ptr> &traffic_directory::services() const
{
    return m_services;
}

}
