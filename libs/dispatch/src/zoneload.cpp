#include "cardamomdeck/dispatch/zoneload.h"

#include <algorithm>
#include <cmath>

namespace cardamomdeck {

namespace {

/** Time constant of the mean over probes; longer than a request, so that single requests do not move the share. */
constexpr double probeTimeConstantMs = 1000.0;

/** Weight of one peer's report in probes: an entry with a few requests per second has about that many a second. */
constexpr double peerReportWeight = 8.0;

/** Weight of the mean of a whole zone. */
constexpr double zoneReportWeight = 40.0;

bool isRecent(time_point at, time_point now)
{
    return at + zone_load_table::maxAge >= now;
}

}

void zone_load_table::recordProbe(const std::string &zone, const load_report &report, time_point now)
{
    probe_mean &mean = m_probes[zone];
    const double decay = isRecent(mean.lastProbeAt, now)
                             ? std::exp(-std::max(0.0, toMilliseconds(now - mean.lastProbeAt)) / probeTimeConstantMs)
                             : 0.0;
    mean.weight = mean.weight * decay + 1.0;
    const double utilization
        = static_cast<double>(report.running + report.waiting) / std::max<std::uint32_t>(1, report.slots);
    mean.utilization += (utilization - mean.utilization) / mean.weight;
    mean.slowdown += (report.slowdown - mean.slowdown) / mean.weight;
    mean.lastProbeAt = now;
}

void zone_load_table::recordReport(
    const std::string &zone, const std::string &reporter, double utilization, time_point observedAt, time_point now)
{
    if (!isRecent(observedAt, now)) {
        return;
    }
    peer_report &report = m_reports[zone][reporter];
    if (observedAt >= report.observedAt) {
        report = {utilization, std::min(observedAt, now)};
    }
}

std::optional<zone_load> zone_load_table::observedLoad(const std::string &zone, time_point now) const
{
    const auto found = m_probes.find(zone);
    if (found == m_probes.end() || !isRecent(found->second.lastProbeAt, now)) {
        return std::nullopt;
    }
    return zone_load{found->second.utilization, found->second.slowdown, found->second.lastProbeAt};
}

std::optional<zone_load> zone_load_table::relayedLoad(const std::string &zone, time_point now) const
{
    const auto reports = m_reports.find(zone);
    if (reports == m_reports.end()) {
        return std::nullopt;
    }
    const auto found = reports->second.find("");
    if (found == reports->second.end() || !isRecent(found->second.observedAt, now)) {
        return std::nullopt;
    }
    return zone_load{found->second.utilization, 1.0, found->second.observedAt};
}

std::optional<zone_load> zone_load_table::load(const std::string &zone, time_point now) const
{
    double totalWeight = 0;
    double utilization = 0;
    double ageMs = 0;
    const auto add = [&](double weight, double value, time_point at) {
        totalWeight += weight;
        utilization += weight * value;
        ageMs += weight * toMilliseconds(now - at);
    };
    const std::optional<zone_load> observed = observedLoad(zone, now);
    if (observed) {
        const double decay = std::exp(-toMilliseconds(now - observed->observedAt) / probeTimeConstantMs);
        add(m_probes.at(zone).weight * decay, observed->utilization, observed->observedAt);
    }
    if (const auto reports = m_reports.find(zone); reports != m_reports.end()) {
        for (const auto &[reporter, report] : reports->second) {
            if (isRecent(report.observedAt, now)) {
                add(reporter.empty() ? zoneReportWeight : peerReportWeight, report.utilization, report.observedAt);
            }
        }
    }
    if (totalWeight <= 0) {
        return std::nullopt;
    }
    const auto age = std::chrono::round<nanoseconds>(std::chrono::duration<double, std::milli>(ageMs / totalWeight));
    return zone_load{utilization / totalWeight, observed ? observed->slowdown : 1.0, now - age};
}

void zone_load_table::expire(time_point now)
{
    for (auto &[zone, reports] : m_reports) {
        std::erase_if(reports, [&](const auto &item) { return !isRecent(item.second.observedAt, now); });
    }
    std::erase_if(m_reports, [](const auto &item) { return item.second.empty(); });
    std::erase_if(m_probes, [&](const auto &item) { return !isRecent(item.second.lastProbeAt, now); });
}

}
