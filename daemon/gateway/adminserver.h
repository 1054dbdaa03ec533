/**
 * @file
 * HTTP server for operators: metrics, the state of the fleet and the log of single requests.
 */
#pragma once

#include "controlplane.h"
#include "dataplane.h"
#include "quotaexchange.h"

#include "cardamomdeck/http/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace cardamomdeck {

/**
 * Answers GET /metrics (Prometheus text), /v1/fleet and /v1/quotas (JSON) and
 * /v1/requests/ID (JSON list of the log lines of a request).
 */
class admin_server
{
public:
    admin_server(boost::asio::io_context &context,
                 const data_plane &dataPlane,
                 const control_plane &controlPlane,
                 const quota_exchange &quotas);

    /** Listens on @p address; may be called for up to two addresses. Errors: port_in_use. */
    result_code listen(const socket_address &address);

private:
    boost::asio::awaitable<http_response> handleRequest(const http_request &request);
    std::string metricsText() const;
    std::string fleetJson() const;

    const data_plane &m_dataPlane;
    const control_plane &m_controlPlane;
    const quota_exchange &m_quotas;
    http_server m_apiServer;
    http_server m_metricsServer;
    bool m_apiServerInUse = false;
};

}
