/**
 * @file
 * A caller's request on its way to a backend server, and what all of them share.
 */
#pragma once

#include "backendprober.h"
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

/** What all requests of an entry share. */
struct forwarding_context
{
    boost::asio::io_context &context;
    connection_pool &pool;
    backend_prober &prober;
    random_source &random;
    /** Memory of the bodies of all requests and answers. */
    byte_budget &bodyMemory;
    std::string zone;
};

/** A request with what decides about it. */
struct forwarded_request
{
    http_request message;
    std::string id;
    traffic_rule_ptr rule;
    service_state_ptr service;
    /** Most urgent priority among the rules of the service. */
    std::uint32_t mostUrgentPriority = 0;
    std::size_t liveMembers = 1;
    time_point arrivedAt;
    /** When the caller or the rule gives the request up. */
    time_point deadline;
};

/** What a choice of a server for @p request at @p now depends on. */
choice_request makeChoiceRequest(const forwarded_request &request, time_point now);

}
