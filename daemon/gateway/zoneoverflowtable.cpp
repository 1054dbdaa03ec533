#include "zoneoverflowtable.h"

#include "trafficmetrics.h"

#include "cardamomdeck/base/logline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cardamomdeck {

using nlohmann::json;

namespace {

/** Time that crossing adds: two round trips, for the probe and the request, of 0.5 to 0.9 ms one way. */
constexpr double crossingMs = 3.0;

/** Weight of the slots of a server that is warming up and takes twice as long. */
constexpr double warmUpWeight = 0.5;

/** Bounds of what is added to a heartbeat, which should fit into one datagram. */
constexpr std::size_t maxReportBytes = 400;
constexpr double maxPercent = 1000.0;

/** Bytes of a report without its names: the age, the utilization and the lengths. */
constexpr std::size_t reportOverhead = 5;

std::uint32_t toPercent(double utilization)
{
    return static_cast<std::uint32_t>(std::lround(std::clamp(utilization * 100.0, 0.0, maxPercent)));
}

/** Load, age and slots of a zone for log lines, as in "0.95 at 120 ms, 48 slots". */
std::string describe(const zone_capacity &capacity, time_point now)
{
    char text[96];
    if (!capacity.load) {
        std::snprintf(text, sizeof text, "unknown:slots=%.0f", capacity.slots);
        return text;
    }
    std::snprintf(text,
                  sizeof text,
                  "%.2f:age_ms=%.0f:slots=%.0f",
                  capacity.load->utilization,
                  toMilliseconds(now - capacity.load->observedAt),
                  capacity.slots);
    return text;
}

/** The part of the share of a rule that goes to each zone. */
std::map<std::string, double> zoneParts(const overflow_state &state)
{
    double sum = 0;
    for (const auto &[zone, share] : state.shareByZone) {
        sum += share;
    }
    std::map<std::string, double> parts;
    for (const auto &[zone, share] : state.shareByZone) {
        parts[zone] = sum > 0 ? share / sum : 0.0;
    }
    return parts;
}

}

zone_overflow_table::zone_overflow_table(std::string homeZone,
                                         overflow_settings settings,
                                         const std::map<std::string, service_state_ptr> &services,
                                         random_source &random)
    : m_homeZone(std::move(homeZone))
    , m_settings(settings)
    , m_services(services)
    , m_random(random)
{
}

void zone_overflow_table::setEvacuatedZones(std::set<std::string> zones)
{
    m_evacuatedZones = std::move(zones);
}

service_overflow &zone_overflow_table::overflowOf(service_state &service)
{
    if (!service.overflow) {
        service.overflow = std::make_shared<service_overflow>(service_overflow{
            zone_overflow(m_homeZone, crossing_cost{crossingMs, m_settings.crossZoneCostPerMbMs}), {}, {}});
    }
    return *service.overflow;
}

void zone_overflow_table::update(const std::string &name, service_state &service, time_point now)
{
    service_overflow &overflow = overflowOf(service);
    if (!overflow.decision.isUpdateDue(now)) {
        return;
    }
    overflow.slotsByZone.clear();
    for (const auto &[id, backend] : service.backends) {
        const backend_server &server = backend->server;
        if (backend->isUsable(now) && !m_evacuatedZones.contains(server.zone)) {
            overflow.slotsByZone[server.zone] += server.slots * (server.warmupEndsAt > now ? warmUpWeight : 1.0);
        }
    }
    const bool wasLeaving = overflow.decision.state().isLeaving();
    overflow.decision.update(overflow.slotsByZone, now);
    const overflow_state &state = overflow.decision.state();
    if (state.isLeaving() == wasLeaving) {
        return;
    }
    std::string others;
    for (const auto &[zone, capacity] : state.inputs.others) {
        others += (others.empty() ? "" : ",") + zone + ":" + describe(capacity, now);
    }
    log_line(wasLeaving ? "zone_overflow_ended" : "zone_overflow_started")
        .add("service", name)
        .add("zone", m_homeZone)
        .add("share", state.share)
        .add("home", describe(state.inputs.home, now))
        .add("others", others)
        .info();
}

void zone_overflow_table::recordProbe(service_state &service,
                                      const std::string &zone,
                                      const load_report &load,
                                      time_point now)
{
    overflowOf(service).decision.loads().recordProbe(zone, load, now);
}

overflow_request
zone_overflow_table::makeRequest(const forwarded_request &request, bool hasHomeServer, time_point now) const
{
    return {request.rule->name,
            request.rule->priority,
            request.mostUrgentPriority,
            makeChoiceRequest(request, now),
            std::nullopt,
            hasHomeServer};
}

leave_decision
zone_overflow_table::decideFirst(const forwarded_request &request, bool hasHomeServer, bool isFirstAttempt)
{
    const time_point now = steady::now();
    const overflow_request overflowRequest = makeRequest(request, hasHomeServer, now);
    zone_overflow &decision = overflowOf(*request.service).decision;
    if (isFirstAttempt) {
        decision.recordRequest(
            overflowRequest.rule, overflowRequest.choice.serviceTimes.requestMs, overflowRequest.priority, now);
    }
    if (decision.isUpdateDue(now)) {
        const auto found
            = std::ranges::find_if(m_services, [&request](const auto &item) { return item.second == request.service; });
        if (found != m_services.end()) {
            update(found->first, *found->second, now);
        }
    }
    return decision.decideFirst(overflowRequest, m_random);
}

leave_decision zone_overflow_table::decide(const forwarded_request &request,
                                           const std::optional<backend_choice> &homeChoice,
                                           bool hasHomeServer)
{
    overflow_request overflowRequest = makeRequest(request, hasHomeServer, steady::now());
    overflowRequest.homeChoice = homeChoice;
    return overflowOf(*request.service).decision.decide(overflowRequest, m_random);
}

void zone_overflow_table::recordSent(const forwarded_request &request, const std::string &zone, leave_reason reason)
{
    const time_point now = steady::now();
    service_overflow &overflow = overflowOf(*request.service);
    overflow.decision.recordSent(zone, makeChoiceRequest(request, now).serviceTimes.requestMs, now);
    if (zone != m_homeZone) {
        ++overflow.left[{zone, reason}].requests;
    }
}

void zone_overflow_table::recordBytes(const forwarded_request &request,
                                      const std::string &zone,
                                      leave_reason reason,
                                      std::size_t bytes)
{
    service_overflow &overflow = overflowOf(*request.service);
    overflow.decision.recordBytes(request.rule->name, static_cast<double>(bytes));
    if (zone != m_homeZone) {
        overflow.left[{zone, reason}].bytes += bytes;
    }
}

std::vector<zone_load_report> zone_overflow_table::reports(bool toOtherZones, time_point now)
{
    // By zone, so that loads of the same zone share its name and age.
    std::map<std::string, zone_load_report> byZone;
    std::size_t bytes = 0;
    const auto add = [&](const std::string &zone, const std::string &service, const std::optional<zone_load> &load) {
        const std::size_t size = service.size() + reportOverhead + (byZone.contains(zone) ? 0 : zone.size());
        if (!load || bytes + size > maxReportBytes) {
            return;
        }
        bytes += size;
        zone_load_report &report = byZone[zone];
        report.zone = zone;
        report.age = std::max(report.age, std::chrono::ceil<milliseconds>(now - load->observedAt));
        report.percentByService[service] = toPercent(load->utilization);
    };
    for (const auto &[name, service] : m_services) {
        update(name, *service, now);
        const service_overflow &overflow = *service->overflow;
        const zone_load_table &loads = overflow.decision.loads();
        add(m_homeZone, name, toOtherZones ? loads.load(m_homeZone, now) : loads.observedLoad(m_homeZone, now));
        for (const auto &[zone, slots] : overflow.slotsByZone) {
            if (!toOtherZones && zone != m_homeZone) {
                add(zone, name, loads.relayedLoad(zone, now));
            }
        }
    }
    std::vector<zone_load_report> result;
    for (auto &[zone, report] : byZone) {
        result.push_back(std::move(report));
    }
    return result;
}

void zone_overflow_table::applyReports(const heartbeat_message &heartbeat, time_point now)
{
    const bool sameZone = heartbeat.sender.zone == m_homeZone;
    for (const zone_load_report &report : heartbeat.zoneLoads) {
        const bool isHome = report.zone == m_homeZone;
        if (isHome && !sameZone) {
            continue;
        }
        const std::string reporter = isHome ? heartbeat.sender.name : "";
        for (const auto &[name, percent] : report.percentByService) {
            const auto found = m_services.find(name);
            if (found == m_services.end()) {
                continue;
            }
            service_overflow &overflow = overflowOf(*found->second);
            // Only zones with servers are kept, so that foreign reports cannot fill the memory.
            if (overflow.slotsByZone.contains(report.zone)) {
                overflow.decision.loads().recordReport(
                    report.zone, reporter, std::min<double>(percent, maxPercent) / 100.0, now - report.age, now);
            }
        }
    }
}

void zone_overflow_table::appendMetrics(std::string &text) const
{
    for (const auto &[name, service] : m_services) {
        if (!service->overflow) {
            continue;
        }
        const std::string serviceLabel = "service=\"" + name + "\"";
        for (const auto &[target, left] : service->overflow->left) {
            const std::string labels
                = serviceLabel + ",zone=\"" + target.zone + "\",reason=\"" + std::string(nameOf(target.reason)) + "\"";
            appendMetric(text, "zone_left_requests_total", labels, static_cast<double>(left.requests));
            appendMetric(text, "zone_left_bytes_total", labels, static_cast<double>(left.bytes));
        }
        const overflow_state &state = service->overflow->decision.state();
        appendMetric(text, "zone_overflow_service_share", serviceLabel, state.share);
        for (const auto &[zone, part] : zoneParts(state)) {
            for (const auto &[rule, share] : state.shareByRule) {
                if (share * part > 0) {
                    appendMetric(text,
                                 "zone_overflow_share",
                                 serviceLabel + ",zone=\"" + zone + "\",rule=\"" + rule + "\"",
                                 share * part);
                }
            }
        }
    }
}

std::string overflowJson(const overflow_settings &settings, const std::map<std::string, service_state_ptr> &services)
{
    const time_point now = steady::now();
    json body = {{"mode", settings.enabled ? "on" : "off"},
                 {"cross_zone_cost_per_mb_ms", settings.crossZoneCostPerMbMs},
                 {"services", json::array()}};
    for (const auto &[name, service] : services) {
        if (!service->overflow) {
            continue;
        }
        const overflow_state &state = service->overflow->decision.state();
        json zones = json::object();
        for (const auto &[zone, capacity] : state.inputs.others) {
            zones[zone] = describe(capacity, now);
        }
        body["services"].push_back({{"service", name},
                                    {"share", state.share},
                                    {"share_by_rule", state.shareByRule},
                                    {"home", describe(state.inputs.home, now)},
                                    {"zones", zones}});
    }
    return body.dump();
}

}
