/**
 * @file
 * What operators read from an entry on the platform: metrics, the state of the fleet, single requests.
 */
#pragma once

#include "fleetcontrol.h"
#include "gatewaypath.h"

#include "cardamomdeck/http/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace cardamomdeck {

/**
 * Answers GET /metrics (Prometheus text), /v1/fleet (JSON) and
 * /v1/requests/ID (JSON list of log lines).
 */
class operator_page
{
public:
    operator_page(boost::asio::io_context &context, const gateway_path &path, const fleet_control &control);

    /** Listens on @p address too. Errors: port_in_use. */
    result_code listen(const socket_address &address);

private:
    boost::asio::awaitable<http_response> handle(const http_request &request);
    std::string metrics() const;
    std::string fleet() const;

    const gateway_path &m_path;
    const fleet_control &m_control;
    http_server m_api;
    http_server m_metrics;
    bool m_apiInUse = false;
};

}
