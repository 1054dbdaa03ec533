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
#include "cardamomdeck/fleet/ruletable.h"
#include "cardamomdeck/http/httpconnection.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace cardamomdeck {

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
};

/** A request with the data that its forwarding depends on. */
struct forwarded_request
{
    http_request message;
    std::string id;
    traffic_rule_ptr rule;
    service_state_ptr service;
    /** Most urgent priority of the service's rules. */
    std::uint32_t mostUrgentPriority = 0;
    std::size_t liveMembers = 1;
    time_point arrivedAt;
    /** Earlier of the caller's and the rule's timeout. */
    time_point deadline;
};

/** Input of the choice of a backend server for @p request at the time @p now. */
choice_request makeChoiceRequest(const forwarded_request &request, time_point now);

}
