#include "backendselection.h"

#include "cardamomdeck/dispatch/candidateorder.h"
#include "cardamomdeck/dispatch/proberound.h"

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;

namespace {

/** Longest time without any answer to a probe before a server is chosen by this entry's own counts. */
constexpr milliseconds longestProbing{60};

/** Probes without a load report after which a service is not probed any more. */
constexpr std::uint32_t uselessProbes = 20;

}

backend_selection::backend_selection(forwarding_context &context, const forwarded_request &request)
    : m_context(context)
    , m_request(request)
{
}

void backend_selection::cancel()
{
    m_cancelled = true;
}

void backend_selection::giveBack(const chosen_backend &chosen)
{
    if (chosen.connection) {
        m_context.pool.giveBack(chosen.backend->server.id, chosen.connection);
    }
}

std::vector<backend_traffic_ptr> backend_selection::usableBackends(bool sameZone) const
{
    const time_point now = steady::now();
    std::vector<backend_traffic_ptr> usable;
    for (const auto &[id, backend] : m_request.service->backends) {
        const bool inZone = backend->server.zone == m_context.zone;
        if (inZone == sameZone && backend->avoidedUntil <= now && !m_tried.contains(id)) {
            usable.push_back(backend);
        }
    }
    std::vector<candidate_rank> ranks;
    for (const backend_traffic_ptr &backend : usable) {
        ranks.push_back({backend->preference, backend->health.isSuspect(now)});
    }
    std::vector<backend_traffic_ptr> ordered;
    for (const std::size_t index : orderCandidates(ranks, m_context.random)) {
        ordered.push_back(usable[index]);
    }
    return ordered;
}

asio::awaitable<void> backend_selection::collect(std::vector<backend_traffic_ptr> &group, const probe_round &round)
{
    service_traffic &service = *m_request.service;
    const std::size_t wanted = std::min(group.size(), round.servers);
    const auto taken = static_cast<std::ptrdiff_t>(
        service.probesAllowed.take(wanted, service.backends.size(), m_request.liveMembers, steady::now()));
    if (taken == 0) {
        co_return;
    }
    std::vector<backend_traffic_ptr> probed(group.begin(), group.begin() + taken);
    group.erase(group.begin(), group.begin() + taken);
    const time_point deadline = std::min(m_request.deadline, steady::now() + longestProbing);
    std::vector<probe_result> results
        = co_await m_context.prober.probe(m_request.service, std::move(probed), round.patience, deadline);
    for (probe_result &result : results) {
        if (result.connection || result.load) {
            m_probed.push_back(std::move(result));
        }
    }
}

std::optional<backend_choice> backend_selection::chooseProbed()
{
    const time_point now = steady::now();
    std::vector<backend_candidate> candidates;
    for (const probe_result &result : m_probed) {
        const backend_traffic &backend = *result.backend;
        backend_candidate candidate;
        candidate.report = result.load;
        candidate.inFlight = backend.inFlight;
        candidate.sentSince = static_cast<std::uint32_t>(backend.sent - result.sentBefore);
        candidate.failureShare = backend.health.failureShare(now);
        candidate.sameZone = backend.server.zone == m_context.zone;
        candidate.warmingUp = backend.server.warmUntil > now;
        candidates.push_back(candidate);
    }
    return chooseBackend(candidates, describeChoice(m_request, now), m_context.random);
}

chosen_backend backend_selection::takeProbed(const backend_choice &choice)
{
    probe_result &result = m_probed[choice.index];
    return {result.backend, std::move(result.connection), choice, result.load, m_probed.size()};
}

void backend_selection::releaseProbed()
{
    for (probe_result &result : m_probed) {
        if (result.connection) {
            m_context.pool.giveBack(result.backend->server.id, result.connection);
        }
    }
    m_probed.clear();
}

asio::awaitable<std::optional<chosen_backend>> backend_selection::choose(const std::set<std::string> &tried)
{
    m_tried = tried;
    m_probed.clear();
    std::optional<backend_choice> choice;
    if (m_request.service->probesWithoutLoad < uselessProbes) {
        std::vector<backend_traffic_ptr> candidates = usableBackends(true);
        bool ownZone = true;
        for (const probe_round &round : probeRounds()) {
            if (m_cancelled || !round.isNeeded(choice, describeChoice(m_request, steady::now()))) {
                continue;
            }
            if (ownZone != round.ownZone) {
                // Looked up only when they are needed: there may be thousands.
                candidates = usableBackends(round.ownZone);
                ownZone = round.ownZone;
            }
            co_await collect(candidates, round);
            choice = chooseProbed();
        }
    }
    if (!choice) {
        // Nothing is known but this entry's own counts.
        for (const bool sameZone : {true, false}) {
            for (const backend_traffic_ptr &backend : usableBackends(sameZone)) {
                m_probed.push_back({backend, nullptr, std::nullopt, backend->sent, false});
            }
        }
        choice = chooseProbed();
    }
    std::optional<chosen_backend> chosen;
    if (choice) {
        chosen = takeProbed(*choice);
    }
    releaseProbed();
    co_return chosen;
}

}
