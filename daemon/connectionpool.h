/**
 * @file
 * Kept connections to back ends.
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

/** Idle connections by back end; hands out only those that may carry a request. */
class connection_pool
{
public:
    /** Age of the last proof of life above which a connection is not used; servers close idle ones after 10 s. */
    static constexpr milliseconds maxIdleTime{8000};

    /** A pool whose connections run on @p executor. */
    explicit connection_pool(boost::asio::any_io_executor executor);

    /**
     * An idle connection to @p backend that proved alive at @p provenSince or
     * later, or null. Connections found closed are dropped.
     */
    connection_ptr acquireIdle(const std::string &backend, time_point provenSince);

    /** A new, unconnected connection. */
    connection_ptr create() const;

    /** Keeps @p connection for later if it can carry another request. */
    void release(const std::string &backend, const connection_ptr &connection);

    /** Closes connections to @p backend that have not proved alive since @p provenSince. */
    void dropStale(const std::string &backend, time_point provenSince);

    /** Closes all idle connections that have not proved alive since @p provenSince. */
    void dropAllStale(time_point provenSince);

    /** Closes idle connections that the other end has closed, or on which it sends what nobody asked for. */
    void dropUnusable();

    /** Closes the idle connections to back ends that @p isKnown does not know any more. */
    void dropUnknown(const std::function<bool(const std::string &)> &isKnown);

    /** Idle connections held now. */
    std::size_t idleCount() const;

private:
    boost::asio::any_io_executor m_executor;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
};

}
