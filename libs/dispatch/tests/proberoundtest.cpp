#include "cardamomdeck/dispatch/proberound.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace cardamomdeck;

namespace {

/** Servers of one zone with two slots each; neighbours slow a quarter of them to a fifth for moments. */
class noisy_zone
{
public:
    noisy_zone(double busyShare, random_source &random)
        : m_busyShare(busyShare)
        , m_random(random)
    {
    }

    std::vector<backend_candidate> draw(std::size_t count)
    {
        std::vector<backend_candidate> servers(count);
        for (backend_candidate &server : servers) {
            const double pace = randomUnit(m_random) < 0.25 ? 5.0 : 1.0;
            const auto running = static_cast<std::uint32_t>((randomUnit(m_random) < m_busyShare ? 1 : 0)
                                                            + (randomUnit(m_random) < m_busyShare ? 1 : 0));
            server.report = load_report{running, 0, 2, pace};
        }
        return servers;
    }

private:
    double m_busyShare;
    random_source &m_random;
};

const choice_request lookup{{60.0, 60.0}, 200.0, 480.0, 2.0};

struct course
{
    double probes = 0;
    double expectedMs = 0;
};

/** Mean probes and expected time of requests that run the rounds of one zone, or probe all five servers at once. */
course play(double busyShare, bool inRounds)
{
    constexpr int requests = 4000;
    random_source random(7);
    noisy_zone zone(busyShare, random);
    course mean;
    for (int i = 0; i < requests; ++i) {
        const std::vector<backend_candidate> servers = zone.draw(5);
        std::optional<backend_choice> best;
        std::size_t probed = 0;
        for (const probe_round &round : probeRounds()) {
            const bool needed = inRounds ? round.isNeeded(best, lookup) : probed == 0;
            if (round.ownZone && needed && probed < servers.size()) {
                probed = inRounds ? std::min(servers.size(), probed + round.servers) : servers.size();
                best = chooseBackend(std::span(servers).first(probed), lookup, random);
            }
        }
        mean.probes += static_cast<double>(probed) / requests;
        mean.expectedMs += best->expectedMs / requests;
    }
    return mean;
}

}

TestSuite(neighbours_slow_servers_for_moments);

Test(neighbours_slow_servers_for_moments, few_probes_find_an_idle_server_at_a_low_load)
{
    const course inRounds = play(0.15, true);
    const course atOnce = play(0.15, false);
    cr_assert_lt(inRounds.probes, 3.5);
    cr_assert_float_eq(atOnce.probes, 5.0, 1e-6);
    cr_assert_lt(inRounds.expectedMs, 1.03 * atOnce.expectedMs);
}

Test(neighbours_slow_servers_for_moments, a_high_load_is_met_with_as_many_probes_as_before)
{
    const course inRounds = play(0.8, true);
    const course atOnce = play(0.8, false);
    cr_assert_gt(inRounds.probes, 4.5);
    cr_assert_lt(inRounds.expectedMs, 1.03 * atOnce.expectedMs);
}

TestSuite(probing_looks_further);

Test(probing_looks_further, other_zones_are_asked_only_when_the_own_one_has_no_good_server)
{
    const probe_round &last = probeRounds().back();
    cr_assert_not(last.ownZone);
    cr_assert_not(last.isNeeded(backend_choice{0, 70.0, true}, lookup));
    cr_assert(last.isNeeded(backend_choice{0, 300.0, true}, lookup));
    cr_assert(last.isNeeded(backend_choice{0, 70.0, false}, lookup));
    cr_assert(last.isNeeded(std::nullopt, lookup));
}

Test(probing_looks_further, a_server_with_one_request_is_compared_within_the_zone_only)
{
    const backend_choice shared{0, 84.0, true};
    cr_assert(probeRounds()[1].isNeeded(shared, lookup));
    cr_assert_not(probeRounds()[2].isNeeded(shared, lookup));
}
