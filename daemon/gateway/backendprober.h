/**
 * @file
 * Probes several backend servers concurrently for their load, just before a request is sent.
 */
#pragma once

#include "announcementrecorder.h"
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

/** Result of one probe. */
struct probe_result
{
    backend_state_ptr backend;
    /** Idle connection that has just carried the response; null if the probe failed or it cannot be reused. */
    connection_ptr connection;
    std::optional<load_report> load;
    /** Number of requests sent to the server before the probe response arrived. */
    std::uint64_t sentBeforeProbe = 0;
    bool answered = false;
    /** No probe was sent, because the server accepts none at present. */
    bool withheld = false;
};

/** Sends probes and returns their results; does not choose a backend server. */
class backend_prober
{
public:
    /** Takes connections from @p pool, and records announcements in probe responses with @p announcements. */
    backend_prober(boost::asio::io_context &context, connection_pool &pool, announcement_recorder &announcements);

    /**
     * Probes @p backends of @p service concurrently and returns the results of
     * those that respond within @p stragglerTimeout of the call. If none does,
     * waits for the first response until @p deadline. Pending probes continue
     * in the background and return their connections to the pool.
     */
    boost::asio::awaitable<std::vector<probe_result>> probe(service_state_ptr service,
                                                            std::vector<backend_state_ptr> backends,
                                                            milliseconds stragglerTimeout,
                                                            time_point deadline);

    /** Opens a new connection to @p backend; returns null on failure. */
    boost::asio::awaitable<connection_ptr> connect(backend_state_ptr backend, time_point deadline);

private:
    struct probe_batch;
    boost::asio::awaitable<void>
    runProbe(service_state_ptr service, backend_state_ptr backend, std::shared_ptr<probe_batch> batch);
    boost::asio::awaitable<probe_result> sendProbe(service_state_ptr service, backend_state_ptr backend);

    boost::asio::io_context &m_context;
    connection_pool &m_pool;
    announcement_recorder &m_announcements;
};

}
