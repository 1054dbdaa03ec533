/**
 * @file
 * Cold backend servers of services that limit the requests to them; see docs/design/COLD-SERVERS.md.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/coldserverpacer.h"
#include "cardamomdeck/dispatch/warmupstate.h"
#include "cardamomdeck/fleet/fleetcontact.h"
#include "cardamomdeck/platform/exchangeheaders.h"
#include "cardamomdeck/platform/platformsettings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamomdeck {

struct backend_state;
struct service_state;

/** State of one server of a service with a limit for cold servers; other servers have none. */
struct limited_server
{
    warmup_state warmup;
    cold_server_pacer pacer;
};

using limited_server_ptr = std::shared_ptr<limited_server>;

/** Requests of one service and its cold servers. */
struct cold_request_counts
{
    std::uint64_t sent = 0;
    /** Kept from a cold server right before they were sent, or rejected because only cold servers were left. */
    std::uint64_t withheld = 0;

    bool operator==(const cold_request_counts &) const = default;
};

/** Decides whether this entry may send requests to cold servers. */
class cold_request_limiter
{
public:
    using contact_check = std::function<fleet_contact()>;

    /** Sends nothing to cold servers for coldStartDelay from now on; reads @p limits whenever it decides. */
    cold_request_limiter(const platform::warmup_limits &limits, contact_check contact, random_source &random);

    /** True unless @p backend is cold and this entry has no permit for it. */
    bool isCandidate(const service_state &service, const backend_state &backend, time_point now);

    /**
     * Must be called immediately before a request is sent to @p backend; returns false if it must not be sent. Uses up
     * a permit if the server is cold.
     */
    bool tryStartRequest(service_state &service, const backend_state &backend, time_point now);

    /** Retry-After delay of a request of @p service for which only cold servers are left. */
    milliseconds retryDelay(const service_state &service, time_point now);

private:
    std::optional<cold_permit_terms> termsFor(const service_state &service, time_point now);

    const platform::warmup_limits &m_limits;
    contact_check m_contact;
    random_source &m_random;
    time_point m_startsAt;
};

/** Records what @p response, which arrived at @p now and is @p backend's own, states about its warm-up. */
void recordWarmup(backend_state &backend, const platform::probe_response &response, time_point sentAt, time_point now);

/** Records the report of @p backend in the store; @p restarted tells that it is the first one of an incarnation. */
void recordWarmupReport(backend_state &backend, const service_state &service, bool restarted);

/** Number of cold servers of @p service, if it limits the requests to them. */
std::size_t countColdServers(const service_state &service, time_point now);

/** Appends the metrics of @p service, called @p name, if it limits the requests to cold servers. */
void appendColdMetrics(std::string &text, const service_state &service, const std::string &name, time_point now);

}
