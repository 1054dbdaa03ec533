/**
 * @file
 * Asks several backend servers for their load at once, just before a request is sent.
 */
#pragma once

#include "connectionpool.h"
#include "servicestate.h"

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/dispatch/loadreport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomdeck {

/** The end of one probe. */
struct probe_result
{
    backend_state_ptr backend;
    /** Open and proved alive just now; null when the probe failed. */
    connection_ptr connection;
    std::optional<load_report> load;
    /** Requests sent to the server before the probe was answered. */
    std::uint64_t sentBeforeProbe = 0;
    bool answered = false;
};

/** Sends probes; makes no decisions. */
class backend_prober
{
public:
    /** A prober whose connections come from @p pool. */
    backend_prober(boost::asio::io_context &context, connection_pool &pool);

    /**
     * Probes @p backends of @p service and returns those that answered within
     * @p patience of the call; probes that are still under way go on, and give
     * their connections back. Waits up to @p deadline for the first answer.
     */
    boost::asio::awaitable<std::vector<probe_result>> probe(service_state_ptr service,
                                                            std::vector<backend_state_ptr> backends,
                                                            milliseconds patience,
                                                            time_point deadline);

    /** A connection to @p backend that may carry a request, or null. */
    boost::asio::awaitable<connection_ptr> connect(backend_state_ptr backend, time_point deadline);

private:
    struct probe_batch;
    boost::asio::awaitable<void>
    runProbe(service_state_ptr service, backend_state_ptr backend, std::shared_ptr<probe_batch> results);
    boost::asio::awaitable<probe_result> sendProbe(service_state_ptr service, backend_state_ptr backend);

    boost::asio::io_context &m_context;
    connection_pool &m_pool;
};

}
