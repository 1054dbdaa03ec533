#include "cardamomdeck/dispatch/proberound.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

/** Servers of one zone with two slots each; noisy neighbors make a random quarter of them five times slower. */
class noisy_zone
{
public:
    noisy_zone(double busyShare, random_source &random)
        : m_busyShare(busyShare)
        , m_random(random)
    {
    }

    std::vector<backend_candidate> sampleCandidates(std::size_t count)
    {
        std::vector<backend_candidate> servers(count);
        for (backend_candidate &server : servers) {
            const double slowdown = randomUnit(m_random) < 0.25 ? 5.0 : 1.0;
            const auto running = static_cast<std::uint32_t>((randomUnit(m_random) < m_busyShare ? 1 : 0)
                                                            + (randomUnit(m_random) < m_busyShare ? 1 : 0));
            server.report = load_report{running, 0, 2, slowdown};
        }
        return servers;
    }

private:
    double m_busyShare;
    random_source &m_random;
};

const choice_request lookupRequest{{60.0, 60.0}, 200.0, 480.0, 2.0};

struct probing_average
{
    double probes = 0;
    double expectedLatencyMs = 0;
};

/**
 * Returns the mean number of probes and the mean expected latency of requests
 * that run the probe rounds of one zone, or else probe all five servers at once.
 */
probing_average simulateProbing(double busyShare, bool inRounds)
{
    constexpr int requests = 4000;
    random_source random(7);
    noisy_zone zone(busyShare, random);
    probing_average average;
    for (int i = 0; i < requests; ++i) {
        const std::vector<backend_candidate> servers = zone.sampleCandidates(5);
        std::optional<backend_choice> best;
        std::size_t probed = 0;
        for (const probe_round &round : probeRounds()) {
            const bool needed = inRounds ? round.isNeeded(best, lookupRequest) : probed == 0;
            if (round.sameZone && needed && probed < servers.size()) {
                probed = inRounds ? std::min(servers.size(), probed + round.maxProbes) : servers.size();
                best = chooseBackend(std::span(servers).first(probed), lookupRequest, random);
            }
        }
        average.probes += static_cast<double>(probed) / requests;
        average.expectedLatencyMs += best->expectedLatencyMs / requests;
    }
    return average;
}

}

TestSuite(probe_rounds_with_noisy_neighbours);

Test(probe_rounds_with_noisy_neighbours, needs_few_probes_at_low_load)
{
    const probing_average inRounds = simulateProbing(0.15, true);
    const probing_average atOnce = simulateProbing(0.15, false);
    cr_assert_lt(inRounds.probes, 3.5);
    cr_assert_float_eq(atOnce.probes, 5.0, 1e-6);
    cr_assert_lt(inRounds.expectedLatencyMs, 1.03 * atOnce.expectedLatencyMs);
}

Test(probe_rounds_with_noisy_neighbours, probes_nearly_all_servers_at_high_load)
{
    const probing_average inRounds = simulateProbing(0.8, true);
    const probing_average atOnce = simulateProbing(0.8, false);
    cr_assert_gt(inRounds.probes, 4.5);
    cr_assert_lt(inRounds.expectedLatencyMs, 1.03 * atOnce.expectedLatencyMs);
}

TestSuite(probe_rounds_across_zones);

Test(probe_rounds_across_zones, probes_other_zones_only_without_acceptable_server)
{
    const probe_round &last = probeRounds().back();
    cr_assert_not(last.sameZone);
    cr_assert_not(last.isNeeded(backend_choice{0, 70.0, true}, lookupRequest));
    cr_assert(last.isNeeded(backend_choice{0, 300.0, true}, lookupRequest));
    cr_assert(last.isNeeded(backend_choice{0, 70.0, false}, lookupRequest));
    cr_assert(last.isNeeded(std::nullopt, lookupRequest));
}

Test(probe_rounds_across_zones, partly_busy_server_needs_only_second_round)
{
    const backend_choice partlyBusy{0, 84.0, true};
    cr_assert(probeRounds()[1].isNeeded(partlyBusy, lookupRequest));
    cr_assert_not(probeRounds()[2].isNeeded(partlyBusy, lookupRequest));
}
