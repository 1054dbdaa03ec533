/**
 * @file
 * HTTP server for the resource API, the status and the metrics.
 */
#pragma once

#include "controlstate.h"
#include "configlogclient.h"
#include "peerexchange.h"
#include "tracesink.h"

#include "cardamomdeck/http/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cardamomdeck {

/** The API for operators; each entry serves it. */
class resource_api
{
public:
    /** Creates an API for @p state; changes are appended through @p configLogClient. */
    resource_api(boost::asio::io_context &context,
                 const entry_settings &settings,
                 control_state &state,
                 config_log_client &configLogClient,
                 peer_exchange &exchange,
                 trace_sink &traces);

    /** Binds the API port. Errors: port_in_use. */
    result_code start();

private:
    struct api_request;

    boost::asio::awaitable<http_response> handle(const http_request &request);
    boost::asio::awaitable<http_response> handleTrace(std::string traceId);
    boost::asio::awaitable<http_response> handleResources(const api_request &request);
    boost::asio::awaitable<http_response> put(const api_request &request, resource_key key);
    boost::asio::awaitable<http_response> remove(const api_request &request, resource_key key);
    boost::asio::awaitable<http_response> submit(config_change change);
    boost::asio::awaitable<http_response> evict(std::string name);
    boost::asio::awaitable<void> waitUntilApplied(const std::string &id, time_point deadline);
    boost::asio::awaitable<http_response> watch(const api_request &request);
    http_response list(resource_kind kind) const;
    http_response get(const resource_key &key) const;
    nlohmann::json describe(const resource_key &key, const stored_resource &stored) const;
    nlohmann::json conditionsOf(const resource_key &key, const stored_resource &stored) const;
    nlohmann::json status() const;
    std::string metrics() const;

    const entry_settings &m_settings;
    control_state &m_state;
    config_log_client &m_configLogClient;
    peer_exchange &m_exchange;
    trace_sink &m_traces;
    http_server m_server;
};

}
