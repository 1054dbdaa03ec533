#include "cardamomdeck/http/httpserver.h"

#include "cardamomdeck/http/tasks.h"
#include "private/serverconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Delay after a failed or rejected accept, so that a lack of file descriptors does not cause a busy loop. */
constexpr milliseconds acceptRetryDelay{20};

/** Interval of the timeout checks of all connections. */
constexpr milliseconds timeoutCheckPeriod{250};

}

asio::awaitable<void> http_server::state::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (!error && connections.size() < options.maxConnections) {
            // This includes a connection that was accepted just before the acceptor was closed.
            serve(std::move(socket));
            continue;
        }
        if (acceptor.is_open()) {
            co_await sleepUntil(steady::now() + acceptRetryDelay);
        }
    }
}

void http_server::state::serve(asio::ip::tcp::socket socket)
{
    auto serverConnection = std::make_shared<connection>(std::move(socket), shared_from_this());
    startTask(executor, "caller_connection", [serverConnection] { return serverConnection->run(); });
}

void http_server::state::acceptBacklog()
{
    beast::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(executor);
        acceptor.accept(socket, error);
        if (!error) {
            serve(std::move(socket));
        }
    }
}

asio::awaitable<void> http_server::state::enforceTimeoutsLoop()
{
    const auto self = shared_from_this();
    while (!stopped || !connections.empty()) {
        co_await sleepUntil(steady::now() + timeoutCheckPeriod);
        const std::set<connection *> open = connections;
        const time_point now = steady::now();
        for (connection *const serverConnection : open) {
            if (connections.contains(serverConnection)) {
                serverConnection->enforceTimeouts(now);
            }
        }
    }
}

http_server::http_server(asio::any_io_executor executor, handler handle, server_options options)
    : m_state(std::make_shared<state>(std::move(executor), std::move(handle), std::move(options)))
{
}

http_server::~http_server()
{
    m_state->stopped = true;
    beast::error_code ignored;
    m_state->acceptor.close(ignored);
}

result_code http_server::listen(const socket_address &address)
{
    const result_code code = openAcceptor(m_state->acceptor, address);
    if (code != result_code::ok) {
        return code;
    }
    const auto state = m_state;
    startLoop(state->executor, "accepting", [state] { return state->acceptLoop(); });
    startLoop(state->executor, "caller_timeouts", [state] { return state->enforceTimeoutsLoop(); });
    return result_code::ok;
}

void http_server::setLimits(message_limits limits, milliseconds headerTimeout, milliseconds idleTimeout)
{
    m_state->options.limits = limits;
    m_state->options.headerTimeout = headerTimeout;
    m_state->options.idleTimeout = idleTimeout;
}

void http_server::closeAfterResponses()
{
    m_state->closing = true;
}

void http_server::stopGracefully()
{
    m_state->closing = true;
    m_state->stopped = true;
    m_state->acceptBacklog();
    beast::error_code ignored;
    m_state->acceptor.close(ignored);
    const std::set<connection *> serverConnections = m_state->connections;
    const time_point now = steady::now();
    for (connection *const serverConnection : serverConnections) {
        serverConnection->closeIfIdle(now);
    }
}

std::size_t http_server::connectionCount() const
{
    return m_state->connections.size();
}

http_response makeResponse(unsigned status, std::string body, const char *contentType)
{
    http_response response;
    response.result(status);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

}
