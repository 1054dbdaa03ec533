#include "cardamomdeck/http/httpserver.h"

#include "cardamomdeck/http/asynctools.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <set>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Pause after a failed accept, so that a lack of descriptors does not spin. */
constexpr milliseconds acceptPause{20};

/** Bytes read at once when a connection has been idle. */
constexpr std::size_t firstReadBytes = 4096;

result_code codeOfRequestError(const beast::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return result_code::head_too_large;
    }
    if (error == http::error::body_limit) {
        return result_code::body_too_large;
    }
    if (error == beast::error::timeout || error == http::error::partial_message) {
        return result_code::request_incomplete;
    }
    return result_code::request_malformed;
}

bool isHttpError(const beast::error_code &error)
{
    return error.category() == make_error_code(http::error::bad_version).category();
}

}

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::any_io_executor serverExecutor, handler serverHandler, server_options serverOptions)
        : executor(std::move(serverExecutor))
        , acceptor(executor)
        , handle(std::move(serverHandler))
        , options(std::move(serverOptions))
    {
    }

    asio::awaitable<void> acceptLoop();

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    handler handle;
    server_options options;
    std::set<connection *> sessions;
    bool stopping = false;
};

/** One accepted connection. */
class http_server::connection : public http_session, public std::enable_shared_from_this<http_server::connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<http_server::state> server);
    ~connection() override;

    asio::awaitable<void> run();
    void watchCaller(std::function<void()> notify) override;
    void abandon() override;

    /** Closes the connection if it is between two requests. */
    void closeIfIdle();

private:
    using request_parser = http::request_parser<http::string_body>;

    asio::awaitable<bool> readHead(request_parser &parser);
    asio::awaitable<bool> readRequest(request_parser &parser);
    asio::awaitable<bool> serveOne();
    asio::awaitable<bool> write(http_response response);
    asio::awaitable<void> reject(beast::error_code error);
    asio::awaitable<void> watchSocket(std::uint64_t request);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<http_server::state> m_server;
    std::function<void()> m_callerGone;
    std::uint64_t m_request = 0;
    bool m_idle = true;
    bool m_abandoned = false;
};

http_server::connection::connection(tcp::socket socket, std::shared_ptr<http_server::state> server)
    : m_stream(std::move(socket))
    , m_buffer(server->options.limits.headBytes + 65536)
    , m_server(std::move(server))
{
    m_server->sessions.insert(this);
}

http_server::connection::~connection()
{
    m_server->sessions.erase(this);
}

asio::awaitable<void> http_server::connection::run()
{
    const auto self = shared_from_this();
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    while (co_await serveOne()) {
    }
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.socket().close(ignored);
}

asio::awaitable<bool> http_server::connection::readHead(request_parser &parser)
{
    m_idle = m_buffer.size() == 0;
    if (m_idle) {
        // Reads the first bytes apart, so that an idle connection can be told from a slow request.
        m_stream.expires_at(steady::now() + m_server->options.idleTimeout);
        const auto [waitError, size] = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
        m_buffer.commit(size);
        m_idle = false;
        if (waitError) {
            co_return false;
        }
    }
    m_stream.expires_at(steady::now() + m_server->options.messageTimeout);
    const auto [error, size] = co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
    if (!error) {
        co_return true;
    }
    if (isHttpError(error) && error != http::error::end_of_stream) {
        co_await reject(error);
    }
    co_return false;
}

asio::awaitable<bool> http_server::connection::readRequest(request_parser &parser)
{
    parser.header_limit(m_server->options.limits.headBytes);
    parser.body_limit(m_server->options.limits.bodyBytes);
    if (!co_await readHead(parser)) {
        co_return false;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> interim(http::status::continue_, parser.get().version());
        const auto [writeError, written] = co_await http::async_write(m_stream, interim, asTuple);
        if (writeError) {
            co_return false;
        }
    }
    const auto [error, size] = co_await http::async_read(m_stream, m_buffer, parser, asTuple);
    if (error) {
        co_await reject(error);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> http_server::connection::serveOne()
{
    request_parser parser;
    if (!co_await readRequest(parser)) {
        co_return false;
    }
    const bool keepAlive = parser.keep_alive();
    const unsigned version = parser.get().version();
    http_request request = parser.release();
    ++m_request;
    m_stream.expires_never();
    http_response response = co_await m_server->handle(request, *this);
    m_callerGone = nullptr;
    ++m_request;
    if (m_abandoned) {
        co_return false;
    }
    response.version(version);
    response.keep_alive(keepAlive && !m_server->stopping);
    co_return co_await write(std::move(response));
}

asio::awaitable<bool> http_server::connection::write(http_response response)
{
    m_stream.expires_at(steady::now() + m_server->options.messageTimeout);
    const auto [error, size] = co_await http::async_write(m_stream, response, asTuple);
    co_return !error && response.keep_alive();
}

asio::awaitable<void> http_server::connection::reject(beast::error_code error)
{
    if (!m_server->options.rejection) {
        co_return;
    }
    http_response response = m_server->options.rejection(codeOfRequestError(error));
    response.keep_alive(false);
    co_await write(std::move(response));
}

void http_server::connection::watchCaller(std::function<void()> notify)
{
    m_callerGone = std::move(notify);
    const auto self = shared_from_this();
    asio::co_spawn(
        m_server->executor,
        [self, request = m_request]() -> asio::awaitable<void> { co_await self->watchSocket(request); },
        asio::detached);
}

asio::awaitable<void> http_server::connection::watchSocket(std::uint64_t request)
{
    const auto [error] = co_await m_stream.socket().async_wait(tcp::socket::wait_read, asTuple);
    if (request != m_request || !m_callerGone) {
        co_return;
    }
    beast::error_code peekError;
    char byte = 0;
    if (!error) {
        m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
    }
    if (error || (peekError && peekError != asio::error::would_block)) {
        const auto notify = std::move(m_callerGone);
        m_callerGone = nullptr;
        notify();
    }
}

void http_server::connection::abandon()
{
    m_abandoned = true;
}

void http_server::connection::closeIfIdle()
{
    if (!m_idle) {
        return;
    }
    beast::error_code ignored;
    m_stream.socket().close(ignored);
}

asio::awaitable<void> http_server::state::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (!acceptor.is_open()) {
            co_return;
        }
        if (error || sessions.size() >= options.maxConnections) {
            co_await sleepUntil(steady::now() + acceptPause);
            continue;
        }
        auto session = std::make_shared<connection>(std::move(socket), self);
        asio::co_spawn(
            executor, [session]() -> asio::awaitable<void> { co_await session->run(); }, asio::detached);
    }
}

http_server::http_server(asio::any_io_executor executor, handler handle, server_options options)
    : m_state(std::make_shared<state>(std::move(executor), std::move(handle), std::move(options)))
{
}

http_server::~http_server()
{
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
    asio::co_spawn(
        state->executor, [state]() -> asio::awaitable<void> { co_await state->acceptLoop(); }, asio::detached);
    return result_code::ok;
}

void http_server::stopGracefully()
{
    m_state->stopping = true;
    beast::error_code ignored;
    m_state->acceptor.close(ignored);
    const std::set<connection *> sessions = m_state->sessions;
    for (connection *const session : sessions) {
        session->closeIfIdle();
    }
}

std::size_t http_server::connectionCount() const
{
    return m_state->sessions.size();
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
