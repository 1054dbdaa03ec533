/**
 * @file
 * Chooses the backend server for one attempt of a request by probing candidates just before it.
 */
#pragma once

#include "forwardedrequest.h"

#include "cardamomdeck/dispatch/proberound.h"
#include "cardamomdeck/dispatch/zoneoverflow.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** The backend server chosen for an attempt, with the data that the choice is based on. */
struct chosen_backend
{
    backend_state_ptr backend;
    /** Connection that has just carried the probe response; null if the server was chosen without a probe. */
    connection_ptr connection;
    backend_choice choice;
    std::optional<load_report> load;
    /** Number of candidates compared: probe responses, or all usable servers if there were none. */
    std::size_t candidateCount = 0;
    /** Why the request leaves the zone; none if the server is in it, or while zone_overflow is off. */
    leave_reason leaveReason = leave_reason::none;
};

/** Probes candidates in rounds; a round runs only if the earlier ones found no acceptable server. */
class backend_selector
{
public:
    /** Chooses servers for @p request, which must outlive this object. */
    backend_selector(forwarding_context &context, const forwarded_request &request);

    /** Chooses a server that is not in @p triedBackends; returns nothing if there is none. */
    boost::asio::awaitable<std::optional<chosen_backend>> choose(const std::set<std::string> &triedBackends);

    /** Records that a request is sent to @p chosen, for the share of requests that leave the zone. */
    void recordSent(const chosen_backend &chosen);

    /** Records the size of a request and its response. */
    void recordExchange(const chosen_backend &chosen, const exchange_result &result);

    /** Stops further probe rounds, because the request has ended. */
    void cancel();

    /** Returns the connection of an unused choice to the pool. */
    void releaseConnection(const chosen_backend &chosen);

private:
    /** Probes servers of other zones, as m_leave allows. */
    boost::asio::awaitable<void> probeOtherZones();
    /** Drops the probe results of servers in other zones that have no free slot. */
    void dropFullServers();
    bool isRoundNeeded(const probe_round &round, const std::optional<backend_choice> &choice);
    /** True if the own zone has untried servers, and not all of those that were probed failed to respond. */
    bool hasHomeServer() const;
    boost::asio::awaitable<void> probeCandidates(std::vector<backend_state_ptr> &candidates, const probe_round &round);
    /** Servers that may be tried: those of this entry's subset first, suspect ones last. */
    std::vector<backend_state_ptr> usableBackends(bool sameZone) const;
    std::optional<backend_choice> chooseFromProbeResults();
    chosen_backend takeChosen(const backend_choice &choice);
    void releaseProbeConnections();

    forwarding_context &m_context;
    const forwarded_request &m_request;
    std::set<std::string> m_triedBackends;
    std::vector<probe_result> m_probeResults;
    /** Whether the request may leave the zone; set only while zone_overflow is on. */
    leave_decision m_leave;
    bool m_hasHomeCandidates = true;
    /** Probes sent to servers of the own zone for the current choice. */
    std::size_t m_homeProbes = 0;
    bool m_cancelled = false;
};

}
