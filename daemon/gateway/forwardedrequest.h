/**
 * @file
 * A caller's request that is forwarded to a backend server, and the context that all requests share.
 */
#pragma once

#include "announcementrecorder.h"
#include "backendprober.h"
#include "coldservers.h"
#include "connectionpool.h"
#include "servicestate.h"

#include "cardamomdeck/base/bytebudget.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/dispatch/backendchoice.h"
#include "cardamomdeck/dispatch/zonefilter.h"
#include "cardamomdeck/fleet/evacuationtable.h"
#include "cardamomdeck/fleet/ruletable.h"
#include "cardamomdeck/fleet/workspacetable.h"
#include "cardamomdeck/http/httpconnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cardamomdeck {

class zone_overflow_table;

/** Context shared by all requests of an entry. */
struct forwarding_context
{
    boost::asio::io_context &context;
    connection_pool &pool;
    backend_prober &prober;
    announcement_recorder &announcements;
    random_source &random;
    /** Memory budget for the bodies of all requests and responses. */
    byte_budget &bodyMemory;
    cold_request_limiter &coldRequests;
    std::string zone;
    /** True while the view may be stale after a pause of this process; see awaitCurrentView(). */
    std::function<bool()> isViewPossiblyStale;
    /** Zones whose servers get no requests, according to the current view; never null. */
    zone_set_ptr evacuatedZones = std::make_shared<const zone_set>();
    /** Null while zone_overflow is off. */
    zone_overflow_table *overflow = nullptr;

    /** True if @p backend gets no requests because its zone is evacuated. */
    bool isEvacuated(const backend_state &backend) const;
};

/** Waits, for a short time at most, until the view is no longer possibly stale after a pause of this process. */
boost::asio::awaitable<void> awaitCurrentView(const forwarding_context &context);

/** A request with the data that its forwarding depends on. */
struct forwarded_request
{
    http_request message;
    std::string id;
    traffic_rule_ptr rule;
    /** Null on anonymous routes and without workspaces. */
    workspace_ptr workspace;
    /** Priority of the workspace, or else of the rule. */
    std::uint32_t priority = 0;
    /** Zones whose servers may run the request. */
    zone_filter zones;
    service_state_ptr service;
    /** Most urgent priority that a request to the service can have. */
    std::uint32_t mostUrgentPriority = 0;
    std::size_t liveMembers = 1;
    time_point arrivedAt;
    /** Earlier of the caller's and the rule's timeout. */
    time_point deadline;
};

/** Input of the choice of a backend server for @p request at the time @p now. */
choice_request makeChoiceRequest(const forwarded_request &request, time_point now);

}
