#include "backendselector.h"

#include "zoneoverflowtable.h"

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
        const bool isUsable = m_request.zones.allows(backend->server.zone) && backend->isUsable(now)
                              && !m_context.isEvacuated(*backend);
        if (inZone == sameZone && isUsable && !m_triedBackends.contains(id)
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
    m_homeProbes += round.sameZone ? probed.size() : 0;
    const time_point deadline = std::min(m_request.deadline, steady::now() + maxProbeWait);
    std::vector<probe_result> results
        = co_await m_context.prober.probe(m_request.service, std::move(probed), round.stragglerTimeout, deadline);
    const time_point now = steady::now();
    for (probe_result &result : results) {
        if (m_context.overflow != nullptr && result.load) {
            m_context.overflow->recordProbe(service, result.backend->server.zone, *result.load, now);
        }
        if (!result.backend->availability->isAvailable(now) || m_context.isEvacuated(*result.backend)
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
    choice_request request = makeChoiceRequest(m_request, now);
    if (m_leave.mayLeave()) {
        request.crossingCostMs = m_leave.crossingCostMs;
    }
    return chooseBackend(candidates, request, m_context.random);
}

chosen_backend backend_selector::takeChosen(const backend_choice &choice)
{
    probe_result &result = m_probeResults[choice.index];
    const bool leaves = result.backend->server.zone != m_context.zone;
    return {result.backend,
            std::move(result.connection),
            choice,
            result.load,
            m_probeResults.size(),
            leaves ? m_leave.reason : leave_reason::none};
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

bool backend_selector::hasHomeServer() const
{
    const bool responded = std::ranges::any_of(
        m_probeResults, [this](const probe_result &result) { return result.backend->server.zone == m_context.zone; });
    return m_hasHomeCandidates && (responded || m_homeProbes == 0);
}

bool backend_selector::isRoundNeeded(const probe_round &round, const std::optional<backend_choice> &choice)
{
    const choice_request request = makeChoiceRequest(m_request, steady::now());
    if (!round.isNeeded(choice, request)) {
        return false;
    }
    if (m_context.overflow == nullptr) {
        return true;
    }
    if (m_leave.mayLeave()) {
        // Servers of other zones have been probed first.
        return round.sameZone && hasNoAcceptableBackend(choice, request);
    }
    if (!round.sameZone) {
        m_leave = m_context.overflow->decide(m_request, choice, hasHomeServer());
        return m_leave.mayLeave();
    }
    return true;
}

asio::awaitable<void> backend_selector::probeOtherZones()
{
    std::vector<backend_state_ptr> candidates = usableBackends(false);
    std::stable_partition(candidates.begin(), candidates.end(), [this](const backend_state_ptr &backend) {
        return backend->server.zone == m_leave.firstZone;
    });
    co_await probeCandidates(candidates, probeRounds().back());
    if (m_leave.needsFreeSlot) {
        dropFullServers();
    }
}

void backend_selector::dropFullServers()
{
    std::erase_if(m_probeResults, [this](const probe_result &result) {
        const bool isFull = result.load ? result.load->running >= result.load->slots : result.backend->inFlight > 0;
        if (result.backend->server.zone == m_context.zone || !isFull) {
            return false;
        }
        if (result.connection) {
            m_context.announcements.releaseConnection(*result.backend, result.connection);
        }
        return true;
    });
}

void backend_selector::recordSent(const chosen_backend &chosen)
{
    if (m_context.overflow != nullptr) {
        m_context.overflow->recordSent(m_request, chosen.backend->server.zone, chosen.leaveReason);
    }
}

void backend_selector::recordExchange(const chosen_backend &chosen, const exchange_result &result)
{
    if (m_context.overflow != nullptr && result.code == result_code::ok) {
        const std::size_t bytes = m_request.message.body().size() + result.response.body().size();
        m_context.overflow->recordBytes(m_request, chosen.backend->server.zone, chosen.leaveReason, bytes);
    }
}

asio::awaitable<std::optional<chosen_backend>> backend_selector::choose(const std::set<std::string> &triedBackends)
{
    m_triedBackends = triedBackends;
    m_probeResults.clear();
    m_leave = {};
    m_homeProbes = 0;
    std::optional<backend_choice> choice;
    // Servers with a limit while they are cold are probed for that too.
    const bool hasColdLimit = m_request.service->profile.warmupRequestsPerSecond > 0;
    if (hasColdLimit || m_request.service->probesWithoutLoad < maxProbesWithoutLoad) {
        std::vector<backend_state_ptr> candidates = usableBackends(true);
        bool candidatesInSameZone = true;
        m_hasHomeCandidates = !candidates.empty();
        if (m_context.overflow != nullptr && !m_cancelled) {
            m_leave = m_context.overflow->decideFirst(m_request, m_hasHomeCandidates, triedBackends.empty());
            if (m_leave.mayLeave()) {
                co_await probeOtherZones();
                choice = chooseFromProbeResults();
            }
        }
        for (const probe_round &round : probeRounds()) {
            if (m_cancelled || !isRoundNeeded(round, choice)) {
                continue;
            }
            if (m_context.overflow != nullptr && !round.sameZone) {
                co_await probeOtherZones();
                choice = chooseFromProbeResults();
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
            if (m_context.overflow != nullptr && !m_probeResults.empty() && hasHomeServer()) {
                // Without load reports, nothing tells that leaving the zone would pay.
                break;
            }
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
