/**
 * @file
 * Pool of idle connections to backend servers.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/http/httpconnection.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamomdeck {

using connection_ptr = std::shared_ptr<http_connection>;

/** Idle connections by backend server. Returns only connections that can carry a request. */
class connection_pool
{
public:
    /** Idle time above which a connection is not used; backend servers close idle connections after 10 s. */
    static constexpr milliseconds maxIdleTime{8000};

    /** Creates a pool whose connections run on @p executor. */
    explicit connection_pool(boost::asio::any_io_executor executor);

    /**
     * Takes an idle connection to @p backend that was last alive at @p aliveSince or
     * later; null if there is none. Closed connections are removed.
     */
    connection_ptr acquireIdle(const std::string &backend, time_point aliveSince);

    /** Creates a connection that is not connected yet. */
    connection_ptr create() const;

    /** Returns @p connection to the pool if it can carry another request. */
    void release(const std::string &backend, const connection_ptr &connection);

    /** Closes all idle connections to @p backend. */
    void drop(const std::string &backend);

    /** Closes idle connections to @p backend that were last alive before @p aliveSince. */
    void dropStale(const std::string &backend, time_point aliveSince);

    /** Closes all idle connections that were last alive before @p aliveSince. */
    void dropAllStale(time_point aliveSince);

    /** Closes idle connections that the peer has closed or on which it has sent unsolicited data. */
    void dropUnusable();

    /** Closes idle connections to backend servers for which @p isKnown returns false. */
    void dropUnknown(const std::function<bool(const std::string &)> &isKnown);

    /** Number of idle connections in the pool. */
    std::size_t idleCount() const;

private:
    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
};

}
