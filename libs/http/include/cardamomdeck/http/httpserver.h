/**
 * @file
 * HTTP/1.1 server that passes complete requests to a coroutine.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"
#include "cardamomdeck/http/httpconnection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace cardamomdeck {

/** Interface of a request handler to the connection that carries its request. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /**
     * Calls @p notify once if the caller closes its connection before the handler returns; immediately if it already
     * has.
     */
    virtual void watchCaller(std::function<void()> notify) = 0;

    /** Closes the connection instead of writing a response. */
    virtual void abandon() = 0;

    /** Holds the reservation @p memory until the response has been written. */
    virtual void holdUntilWritten(byte_budget::reservation memory) = 0;
};

/** Limits and callbacks of a server. */
struct server_options
{
    message_limits limits;
    /** Maximum time between two requests of a connection. */
    milliseconds idleTimeout{60'000};
    /** Maximum time to read the header of a request. */
    milliseconds headerTimeout{10'000};
    /** Maximum time without progress while a body is read, and maximum time to write a response. */
    milliseconds messageTimeout{10'000};
    std::size_t maxConnections = 16'384;
    /** Maximum number of requests of one connection that are served concurrently; one more is read ahead and waits. */
    std::size_t maxPipelineDepth = 1;
    /** Memory budget of the request bodies; with null only the message limits apply. Must outlive the server. */
    byte_budget *budget = nullptr;
    /** Builds the response to a request that could not be read or whose handler threw an exception. */
    std::function<http_response(result_code)> makeRejection;
};

/**
 * Accepts connections and serves all of them on one executor. Pipelined
 * requests are served concurrently, up to maxPipelineDepth; responses are
 * written in the order of the requests. Trailers of requests are dropped.
 */
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request &, http_exchange &)>;

    /** Creates a server that passes its requests to @p handle. */
    http_server(boost::asio::any_io_executor executor, handler handle, server_options options);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Binds @p address and starts to accept connections. Errors: port_in_use. */
    result_code listen(const socket_address &address);

    /** Replaces the limits and timeouts, effective from the next request of each connection. */
    void setLimits(message_limits limits, milliseconds headerTimeout, milliseconds idleTimeout);

    /** Closes each connection after its next response that no request follows. Continues to accept connections. */
    void closeAfterResponses();

    /** Stops accepting, closes idle connections, and closes each other connection after its pending responses. */
    void stopGracefully();

    /** Number of open connections. */
    std::size_t connectionCount() const;

private:
    struct state;
    class connection;
    std::shared_ptr<state> m_state;
};

/** Creates a response with a body of @p contentType. */
http_response makeResponse(unsigned status, std::string body, const char *contentType = "application/json");

}
