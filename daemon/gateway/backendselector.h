/**
 * @file
 * Finds the backend server for one attempt of a request by probing candidates just before.
 */
#pragma once

#include "forwardedrequest.h"

#include "cardamomdeck/dispatch/proberound.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomdeck {

/** A server for an attempt, and what decided for it. */
struct chosen_backend
{
    backend_state_ptr backend;
    /** Proved alive by the probe; null when the server was chosen without one. */
    connection_ptr connection;
    backend_choice choice;
    std::optional<load_report> load;
    /** Answers of probes that the choice was made from. */
    std::size_t probeResponses = 0;
};

/** Asks groups of candidates, each only when those before it offer nothing good. */
class backend_selector
{
public:
    /** Chooses for @p request, which must outlive the selection. */
    backend_selector(forwarding_context &context, const forwarded_request &request);

    /** A server that is none of @p tried; nothing when there is none. */
    boost::asio::awaitable<std::optional<chosen_backend>> choose(const std::set<std::string> &tried);

    /** Asks no further groups; the request has ended. */
    void cancel();

    /** Returns the connection of a choice that is not used. */
    void releaseConnection(const chosen_backend &chosen);

private:
    boost::asio::awaitable<void> probeCandidates(std::vector<backend_state_ptr> &group, const probe_round &round);
    /** Servers that may be tried: preferred ones first, and those that have failed lately last. */
    std::vector<backend_state_ptr> usableBackends(bool sameZone) const;
    std::optional<backend_choice> chooseFromProbeResults();
    chosen_backend takeChosen(const backend_choice &choice);
    void releaseProbeConnections();

    forwarding_context &m_context;
    const forwarded_request &m_request;
    std::set<std::string> m_triedBackends;
    std::vector<probe_result> m_probeResults;
    bool m_cancelled = false;
};

}
