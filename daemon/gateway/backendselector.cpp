#include "backendselector.h"

#include "cardamomdeck/dispatch/candidateorder.h"
#include "cardamomdeck/dispatch/proberound.h"

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

/** Time without any probe response after which a server is chosen by the entry's own counters. */
constexpr milliseconds maxProbeWait{60};

/** Number of consecutive probe responses without a load report after which a service is no longer probed. */
constexpr std::uint32_t maxProbesWithoutLoad = 20;

}

backend_selector::backend_selector(forwarding_context &context, const forwarded_request &request)
    : m_context(context)
    , m_request(request)
{
}

void backend_selector::cancel()
{
    m_cancelled = true;
}

void backend_selector::releaseConnection(const chosen_backend &chosen)
{
    if (chosen.connection) {
        m_context.announcements.releaseConnection(*chosen.backend, chosen.connection);
    }
}

std::vector<backend_state_ptr> backend_selector::usableBackends(bool sameZone) const
{
    const time_point now = steady::now();
    std::vector<backend_state_ptr> backends;
    for (const auto &[id, backend] : m_request.service->backends) {
        const bool inZone = backend->server.zone == m_context.zone;
        if (inZone == sameZone && backend->isUsable(now) && !m_triedBackends.contains(id)
            && m_context.coldRequests.isCandidate(*m_request.service, *backend, now)) {
            backends.push_back(backend);
        }
    }
    std::vector<candidate_rank> ranks;
    for (const backend_state_ptr &backend : backends) {
        ranks.push_back({backend->score, backend->health.isSuspect(now)});
    }
    std::vector<backend_state_ptr> ordered;
    for (const std::size_t index : orderCandidates(ranks, m_context.random)) {
        ordered.push_back(backends[index]);
    }
    // Only one cold server comes first, so that it is compared with others that are probed at the same time.
    const auto cold = std::ranges::find_if(ordered, [now](const backend_state_ptr &backend) {
        return backend->isCold(now) && !backend->health.isSuspect(now);
    });
    if (cold != ordered.end()) {
        std::rotate(ordered.begin(), cold, cold + 1);
    }
    return ordered;
}

asio::awaitable<void> backend_selector::probeCandidates(std::vector<backend_state_ptr> &candidates,
                                                        const probe_round &round)
{
    service_state &service = *m_request.service;
    const std::size_t wantedProbes = std::min(candidates.size(), round.maxProbes);
    const auto probeCount = static_cast<std::ptrdiff_t>(service.probeRateLimiter.acquireUpTo(
        wantedProbes, service.backends.size(), m_request.liveMembers, steady::now()));
    if (probeCount == 0) {
        co_return;
    }
    std::vector<backend_state_ptr> probed(candidates.begin(), candidates.begin() + probeCount);
    candidates.erase(candidates.begin(), candidates.begin() + probeCount);
    const time_point deadline = std::min(m_request.deadline, steady::now() + maxProbeWait);
    std::vector<probe_result> results
        = co_await m_context.prober.probe(m_request.service, std::move(probed), round.stragglerTimeout, deadline);
    const time_point now = steady::now();
    for (probe_result &result : results) {
        if (!result.backend->availability->isAvailable(now)
            || !m_context.coldRequests.isCandidate(service, *result.backend, now)) {
            if (result.connection) {
                m_context.announcements.releaseConnection(*result.backend, result.connection);
            }
            continue;
        }
        if (result.connection || result.load) {
            m_probeResults.push_back(std::move(result));
        }
    }
}

std::optional<backend_choice> backend_selector::chooseFromProbeResults()
{
    const time_point now = steady::now();
    std::vector<backend_candidate> candidates;
    for (const probe_result &result : m_probeResults) {
        const backend_state &backend = *result.backend;
        backend_candidate candidate;
        candidate.report = result.load;
        candidate.inFlight = backend.inFlight;
        candidate.sentSinceReport = static_cast<std::uint32_t>(backend.sentRequests - result.sentBeforeProbe);
        candidate.failureRate = backend.health.failureRate(now);
        candidate.sameZone = backend.server.zone == m_context.zone;
        candidate.warmingUp = backend.limited ? backend.isCold(now) : backend.server.warmupEndsAt > now;
        candidates.push_back(candidate);
    }
    return chooseBackend(candidates, makeChoiceRequest(m_request, now), m_context.random);
}

chosen_backend backend_selector::takeChosen(const backend_choice &choice)
{
    probe_result &result = m_probeResults[choice.index];
    return {result.backend, std::move(result.connection), choice, result.load, m_probeResults.size()};
}

void backend_selector::releaseProbeConnections()
{
    for (probe_result &result : m_probeResults) {
        if (result.connection) {
            m_context.announcements.releaseConnection(*result.backend, result.connection);
        }
    }
    m_probeResults.clear();
}

asio::awaitable<std::optional<chosen_backend>> backend_selector::choose(const std::set<std::string> &triedBackends)
{
    m_triedBackends = triedBackends;
    m_probeResults.clear();
    std::optional<backend_choice> choice;
    // Servers with a limit while they are cold are probed for that too.
    const bool hasColdLimit = m_request.service->profile.warmupRequestsPerSecond > 0;
    if (hasColdLimit || m_request.service->probesWithoutLoad < maxProbesWithoutLoad) {
        std::vector<backend_state_ptr> candidates = usableBackends(true);
        bool candidatesInSameZone = true;
        for (const probe_round &round : probeRounds()) {
            if (m_cancelled || !round.isNeeded(choice, makeChoiceRequest(m_request, steady::now()))) {
                continue;
            }
            if (candidatesInSameZone != round.sameZone) {
                // Listed only when needed, because there may be thousands of servers.
                candidates = usableBackends(round.sameZone);
                candidatesInSameZone = round.sameZone;
            }
            co_await probeCandidates(candidates, round);
            choice = chooseFromProbeResults();
        }
    }
    if (!choice) {
        // Without probe results, only the entry's own counters are available.
        for (const bool sameZone : {true, false}) {
            for (const backend_state_ptr &backend : usableBackends(sameZone)) {
                m_probeResults.push_back({backend, nullptr, std::nullopt, backend->sentRequests, false, false});
            }
        }
        choice = chooseFromProbeResults();
    }
    std::optional<chosen_backend> chosen;
    if (choice) {
        chosen = takeChosen(*choice);
    }
    releaseProbeConnections();
    co_return chosen;
}

}
