/**
 * @file
 * HTTP/1.1 server that hands whole requests to a coroutine.
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

/** What a handler can ask of, and tell to, the connection that carries its request. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /** Calls @p notify once if the caller closes its connection before the handler returns; at once if it has. */
    virtual void watchCaller(std::function<void()> notify) = 0;

    /** Closes the connection instead of writing an answer. */
    virtual void abandon() = 0;

    /** Keeps @p memory taken until the answer has been written. */
    virtual void holdUntilWritten(byte_budget::reservation memory) = 0;
};

/** Limits and hooks of a server. */
struct server_options
{
    message_limits limits;
    /** Longest time between two requests of a connection. */
    milliseconds idleTimeout{60'000};
    /** Longest time for reading the head of a request. */
    milliseconds headTimeout{10'000};
    /** Longest time without progress while a body is read or an answer is written. */
    milliseconds messageTimeout{10'000};
    std::size_t maxConnections = 16'384;
    /** Requests of one connection that are served at once; further ones wait unread. */
    std::size_t maxPipelineDepth = 1;
    /** Memory that bodies of requests are taken from; null for no bound but that of each. Must outlive the server. */
    byte_budget *budget = nullptr;
    /** Builds the answer to a request that could not be read. */
    std::function<http_response(result_code)> makeRejection;
};

/**
 * Accepts connections and serves each on one executor. Requests that a caller
 * sends before earlier ones are answered are served at once, up to a depth;
 * answers are written in the order of the requests.
 */
class http_server
{
public:
    using handler = std::function<boost::asio::awaitable<http_response>(http_request &, http_exchange &)>;

    /** A server whose handler is @p handle. */
    http_server(boost::asio::any_io_executor executor, handler handle, server_options options);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Binds @p address and starts to accept. Errors: port_in_use. */
    result_code listen(const socket_address &address);

    /** Replaces the limits and timeouts; they hold from the next request of each connection. */
    void setLimits(message_limits limits, milliseconds headTimeout, milliseconds idleTimeout);

    /** Closes each connection after its next answer, and goes on accepting. */
    void closeAfterResponses();

    /** Stops accepting, and closes each connection after the answer that it is waiting for. */
    void stopGracefully();

    /** Connections that are open now. */
    std::size_t connectionCount() const;

private:
    struct state;
    class connection;
    std::shared_ptr<state> m_state;
};

/** An answer with a body of @p contentType. */
http_response makeResponse(unsigned status, std::string body, const char *contentType = "application/json");

}
