#include "cardamomdeck/replay/tracegenerator.h"

#include "cardamomdeck/base/randomsource.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cardamomdeck {

namespace {

constexpr std::uint32_t entryCount = 15;
constexpr std::uint32_t zoneCount = 3;
constexpr microseconds sameZoneDelay{150};
constexpr microseconds connectTime{1000};
constexpr std::uint32_t maxQueueLengthPerSlot = 10;

/** Age of load reports by default, and in the scenario with stale reports. */
constexpr microseconds defaultReportDelay{2'000};
constexpr microseconds staleReportDelay{200'000};

/** Mean time between two slow phases of one backend server, mean length of a phase, and its slowdown factor. */
constexpr double meanSlowPhaseGapUs = 300'000;
constexpr double meanSlowPhaseUs = 15'000;
constexpr double slowPhaseSlowdownFactor = 4.0;

constexpr double stragglerSlowdownFactor = 10.0;
constexpr double overloadFactor = 1.5;
constexpr std::uint32_t misreportingBackends = 3;
constexpr std::uint32_t stragglingBackends = 2;

constexpr std::array<scenario_info, 5> scenarios = {{{trace_scenario::shifting_load, "shifting_load"},
                                                     {trace_scenario::stragglers, "stragglers"},
                                                     {trace_scenario::stale_reports, "stale_reports"},
                                                     {trace_scenario::fast_fail, "fast_fail"},
                                                     {trace_scenario::overload, "overload"}}};

constexpr std::array<deployment_profile, 4> profiles
    = {{{"mill_lot_registry", 15, 2, microseconds(1500), microseconds(5000), 0.7},
        {"mill_quality_desk", 12, 2, microseconds(1500), microseconds(5000), 0.9},
        {"accra_dispatch", 15, 6, microseconds(1000), microseconds(8000), 0.7},
        {"accra_catalogue", 10, 6, microseconds(1000), microseconds(8000), 0.95}}};

double exponential(random_source &random, double mean)
{
    return -mean * std::log(1.0 - randomUnit(random));
}

/** Generates the events of one trace. */
class trace_builder
{
public:
    explicit trace_builder(const trace_parameters &parameters)
        : m_parameters(parameters)
        , m_random(parameters.seed)
        , m_length(parameters.length)
        , m_faultStart(m_length / 4)
        , m_faultEnd(m_length * 3 / 4)
    {
    }

    recorded_trace build()
    {
        describeDeployment();
        addSlowPhases();
        addScenario();
        addRequests();
        std::ranges::stable_sort(m_trace.changes, {}, &trace_backend_change::at);
        return std::move(m_trace);
    }

private:
    void describeDeployment()
    {
        const bool stale = m_parameters.scenario == trace_scenario::stale_reports;
        trace_deployment &deployment = m_trace.deployment;
        deployment.name = std::string(m_parameters.profile.name);
        deployment.entries = entryCount;
        deployment.backends = m_parameters.profile.backends;
        deployment.slots = m_parameters.profile.slots;
        deployment.zones = zoneCount;
        deployment.crossZoneDelay = m_parameters.profile.crossZoneDelay;
        deployment.sameZoneDelay = sameZoneDelay;
        deployment.connectTime = connectTime;
        deployment.reportDelay = stale ? staleReportDelay : defaultReportDelay;
        deployment.maxQueueLength = m_parameters.profile.slots * maxQueueLengthPerSlot;
    }

    void addSlowPhases()
    {
        for (std::uint32_t backend = 0; backend < m_parameters.profile.backends; ++backend) {
            const backend_mode mode = modeOf(backend);
            if (mode == backend_mode::misreport) {
                m_trace.changes.push_back({microseconds(0), backend, 1.0, mode});
            }
            if (isFaulty(backend)) {
                continue;
            }
            double at = exponential(m_random, meanSlowPhaseGapUs);
            while (at < static_cast<double>(m_length.count())) {
                const double end = at + exponential(m_random, meanSlowPhaseUs);
                m_trace.changes.push_back({microseconds(std::llround(at)), backend, slowPhaseSlowdownFactor, mode});
                m_trace.changes.push_back({microseconds(std::llround(end)), backend, 1.0, mode});
                at = end + exponential(m_random, meanSlowPhaseGapUs);
            }
        }
    }

    void addScenario()
    {
        for (std::uint32_t backend = 0; backend < m_parameters.profile.backends; ++backend) {
            if (!isFaulty(backend)) {
                continue;
            }
            const bool slow = m_parameters.scenario == trace_scenario::stragglers;
            const backend_mode mode = slow ? backend_mode::serve : backend_mode::fail_fast;
            m_trace.changes.push_back({m_faultStart, backend, slow ? stragglerSlowdownFactor : 1.0, mode});
            m_trace.changes.push_back({m_faultEnd, backend, 1.0, backend_mode::serve});
        }
    }

    void addRequests()
    {
        const deployment_profile &profile = m_parameters.profile;
        const double capacity = static_cast<double>(profile.backends) * profile.slots
                                / static_cast<double>(profile.meanServiceTime.count());
        double at = 0;
        for (;;) {
            const microseconds now(std::llround(at));
            const bool overloaded
                = m_parameters.scenario == trace_scenario::overload && now >= m_faultStart && now < m_faultEnd;
            const double load = overloaded ? overloadFactor : m_parameters.offeredLoad;
            at += exponential(m_random, 1.0 / (capacity * load));
            if (at >= static_cast<double>(m_length.count())) {
                return;
            }
            // Half of the service time is fixed, half is exponentially distributed.
            const auto meanServiceTimeUs = static_cast<double>(profile.meanServiceTime.count());
            const double serviceTimeUs = meanServiceTimeUs / 2 + exponential(m_random, meanServiceTimeUs / 2);
            m_trace.requests.push_back({microseconds(std::llround(at)),
                                        static_cast<std::uint32_t>(randomIndex(m_random, entryCount)),
                                        microseconds(std::llround(serviceTimeUs)),
                                        randomUnit(m_random) < profile.idempotentShare});
        }
    }

    bool isFaulty(std::uint32_t backend) const
    {
        if (m_parameters.scenario == trace_scenario::stragglers) {
            return backend < stragglingBackends;
        }
        return m_parameters.scenario == trace_scenario::fast_fail && backend == 0;
    }

    backend_mode modeOf(std::uint32_t backend) const
    {
        const bool misreports
            = m_parameters.scenario == trace_scenario::stale_reports && backend < misreportingBackends;
        return misreports ? backend_mode::misreport : backend_mode::serve;
    }

    const trace_parameters &m_parameters;
    random_source m_random;
    microseconds m_length;
    microseconds m_faultStart;
    microseconds m_faultEnd;
    recorded_trace m_trace;
};

}

std::span<const scenario_info> scenarioTable()
{
    return scenarios;
}

std::span<const deployment_profile> profileTable()
{
    return profiles;
}

recorded_trace generateTrace(const trace_parameters &parameters)
{
    return trace_builder(parameters).build();
}

}
