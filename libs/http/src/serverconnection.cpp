#include "private/serverconnection.h"

#include "cardamomdeck/http/tasks.h"
#include "private/bodymemory.h"
#include "private/transfercoding.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <poll.h>

#include <algorithm>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Buffer size in bytes of the first read after a connection has been idle, and of reads that are discarded. */
constexpr std::size_t firstReadBytes = 4096;

/** Capacity in bytes of the read buffer beyond the maximum header size. */
constexpr std::size_t bodyReadBytes = 65536;

/** Share of the memory budget for large requests. The rest stays available if callers stall while sending bodies. */
constexpr double largeRequestShare = 0.4;

/** Time that a stopping server waits for the first request of a new connection; it usually follows immediately. */
constexpr milliseconds firstRequestTimeout{500};

/** Time for which input is still read after the last response, so that a reset does not destroy that response. */
constexpr milliseconds lingerTimeout{1000};

result_code codeOfRequestError(const beast::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return result_code::head_too_large;
    }
    if (error == http::error::body_limit) {
        return result_code::body_too_large;
    }
    return result_code::request_malformed;
}

bool isHttpError(const beast::error_code &error)
{
    return error.category() == make_error_code(http::error::bad_version).category();
}

}

/** One request and its response. */
class http_server::connection::exchange : public http_exchange
{
public:
    void watchCaller(std::function<void()> notify) override
    {
        if (callerDisconnected) {
            notify();
            return;
        }
        onCallerDisconnected = std::move(notify);
    }

    void abandon() override
    {
        abandoned = true;
    }

    void holdUntilWritten(byte_budget::reservation memory) override
    {
        responseMemory = std::move(memory);
    }

    http_request request;
    std::optional<http_response> response;
    byte_budget::reservation requestMemory;
    byte_budget::reservation responseMemory;
    std::function<void()> onCallerDisconnected;
    bool keepAlive = true;
    bool abandoned = false;
    /** The caller has closed the connection. */
    bool callerDisconnected = false;
};

http_server::connection::connection(tcp::socket socket, std::shared_ptr<http_server::state> server)
    : m_socket(std::move(socket))
    , m_buffer(server->options.limits.maxHeaderBytes + bodyReadBytes)
    , m_server(std::move(server))
    , m_pipelineSlotTimer(m_socket.get_executor(), time_point::max())
    , m_firstRequestDeadline(steady::now() + firstRequestTimeout)
{
    m_server->connections.insert(this);
    enterReadPhase(read_phase::idle);
}

http_server::connection::~connection()
{
    m_server->connections.erase(this);
}

void http_server::connection::enterReadPhase(read_phase phase)
{
    if (m_finished) {
        return;
    }
    m_phase = phase;
    const server_options &options = m_server->options;
    const time_point now = steady::now();
    switch (phase) {
    case read_phase::idle:
        m_readDeadline = now + options.idleTimeout;
        return;
    case read_phase::head:
        m_readDeadline = now + options.headerTimeout;
        return;
    case read_phase::body:
        m_readDeadline = now + options.messageTimeout;
        return;
    case read_phase::discard:
        m_readDeadline = time_point::max();
        return;
    }
}

asio::awaitable<void> http_server::connection::run()
{
    const auto self = shared_from_this();
    beast::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    while (co_await readRequest()) {
    }
    if (!m_closed) {
        co_await discardInput();
    }
}

asio::awaitable<void> http_server::connection::waitForPipelineSlot()
{
    m_requestWaiting = true;
    while (!m_closed && !m_closeAnnounced && m_pending.size() >= m_server->options.maxPipelineDepth) {
        watchInput();
        co_await m_pipelineSlotTimer.async_wait(asTuple);
        m_pipelineSlotTimer.expires_at(time_point::max());
    }
    m_requestWaiting = false;
}

void http_server::connection::watchInput()
{
    if (m_watchingInput || m_buffer.size() == m_buffer.max_size()) {
        return;
    }
    m_watchingInput = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const beast::error_code &error) {
        self->m_watchingInput = false;
        if (!error && self->m_requestWaiting) {
            self->readAhead();
            self->m_pipelineSlotTimer.cancel();
        }
    });
}

void http_server::connection::readAhead()
{
    const std::size_t size = std::min(firstReadBytes, m_buffer.max_size() - m_buffer.size());
    beast::error_code error;
    m_socket.non_blocking(true, error);
    m_buffer.commit(m_socket.read_some(m_buffer.prepare(size), error));
    if (error && error != asio::error::would_block) {
        notifyCallerDisconnected();
        close();
    }
}

bool http_server::connection::hasCallerDisconnected()
{
    pollfd socket{m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&socket, 1, 0) > 0 && (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

asio::awaitable<void> http_server::connection::discardInput()
{
    enterReadPhase(read_phase::discard);
    char bytes[firstReadBytes];
    for (;;) {
        const auto [error, size] = co_await m_socket.async_read_some(asio::buffer(bytes), asTuple);
        if (error) {
            notifyCallerDisconnected();
            close();
            co_return;
        }
    }
}

asio::awaitable<bool> http_server::connection::readFirstBytes()
{
    enterReadPhase(read_phase::idle);
    if (m_buffer.size() > 0) {
        co_return true;
    }
    const auto [error, size] = co_await m_socket.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
    m_buffer.commit(size);
    if (error) {
        notifyCallerDisconnected();
        close();
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> http_server::connection::readHead(request_parser &parser)
{
    enterReadPhase(read_phase::head);
    const auto [error, size] = co_await http::async_read_header(m_socket, m_buffer, parser, asTuple);
    if (!error && hasSupportedTransferCoding(parser.get())) {
        co_return true;
    }
    if (!error) {
        reject(result_code::request_malformed);
    } else if (m_timedOut) {
        reject(result_code::request_incomplete);
    } else if (isHttpError(error) && error != http::error::end_of_stream && error != http::error::partial_message) {
        reject(codeOfRequestError(error));
    } else {
        notifyCallerDisconnected();
        close();
    }
    co_return false;
}

asio::awaitable<bool> http_server::connection::readBody(request_parser &parser, byte_budget::reservation &memory)
{
    enterReadPhase(read_phase::body);
    if (m_pending.empty() && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> interim(http::status::continue_, parser.get().version());
        const auto [writeError, written] = co_await http::async_write(m_socket, interim, asTuple);
        if (writeError) {
            close();
            co_return false;
        }
    }
    // Beast adds trailers to the header, where they would count as what the caller sent before the body (RFC 9110,
    // 6.5.1). Only chunked bodies have trailers.
    std::optional<http::fields> header;
    if (parser.chunked()) {
        header = parser.get();
    }
    while (!parser.is_done()) {
        if (!reserveBodyMemory(parser, memory)) {
            reject(result_code::memory_short);
            co_return false;
        }
        const auto [error, size] = co_await http::async_read_some(m_socket, m_buffer, parser, asTuple);
        if (error) {
            const bool connectionEnded = !m_timedOut && (!isHttpError(error) || error == http::error::partial_message);
            if (connectionEnded) {
                notifyCallerDisconnected();
                close();
            } else {
                reject(m_timedOut ? result_code::request_incomplete : codeOfRequestError(error));
            }
            co_return false;
        }
        enterReadPhase(read_phase::body);
    }
    if (header) {
        parser.get().http::fields::operator=(*std::move(header));
    }
    co_return true;
}

asio::awaitable<bool> http_server::connection::readRequest()
{
    if (!co_await readFirstBytes()) {
        co_return false;
    }
    const message_limits limits = m_server->options.limits;
    request_parser parser;
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    byte_budget::reservation memory = openReservation(m_server->options.budget, largeRequestShare);
    if (!co_await readHead(parser) || !co_await readBody(parser, memory)) {
        co_return false;
    }
    enterReadPhase(read_phase::idle);
    co_await waitForPipelineSlot();
    if (m_closed || m_closeAnnounced) {
        co_return false;
    }
    const auto pending = std::make_shared<exchange>();
    pending->keepAlive = parser.keep_alive();
    pending->request = parser.release();
    m_firstRequestDeadline = time_point::min();
    pending->requestMemory = std::move(memory);
    m_pending.push_back(pending);
    serve(pending);
    co_return pending->keepAlive && !m_closed;
}

void http_server::connection::serve(exchange_ptr pending)
{
    startTask(m_server->executor, "request", [self = shared_from_this(), pending]() -> asio::awaitable<void> {
        http_response response = co_await self->handle(pending);
        response.version(pending->request.version());
        pending->response = std::move(response);
        pending->onCallerDisconnected = nullptr;
        self->startWritingResponses();
    });
}

asio::awaitable<http_response> http_server::connection::handle(exchange_ptr pending)
{
    try {
        co_return co_await m_server->handle(pending->request, *pending);
    } catch (...) {
        logTaskFailure("request", std::current_exception());
    }
    constexpr unsigned statusBadGateway = 502;
    co_return m_server->options.makeRejection ? m_server->options.makeRejection(result_code::internal_error)
                                              : makeResponse(statusBadGateway, "{}");
}

void http_server::connection::startWritingResponses()
{
    if (m_writing || m_closed) {
        return;
    }
    startTask(m_server->executor, "answers", [self = shared_from_this()] { return self->writeResponses(); });
}

asio::awaitable<void> http_server::connection::writeResponses()
{
    if (m_writing) {
        co_return;
    }
    m_writing = true;
    while (!m_closed && !m_pending.empty() && m_pending.front()->response) {
        const exchange_ptr pending = m_pending.front();
        if (pending->abandoned) {
            close();
            break;
        }
        http_response &response = *pending->response;
        // Closing the connection would lose a request that is pipelined or being read.
        const bool noFurtherRequest
            = m_pending.size() == 1 && m_phase == read_phase::idle && m_buffer.size() == 0 && !m_requestWaiting;
        response.keep_alive(pending->keepAlive && response.keep_alive() && !(m_server->closing && noFurtherRequest));
        // A request that arrives while this response is written would be served, but its response could not be sent.
        m_closeAnnounced = !response.keep_alive();
        m_writeDeadline = steady::now() + m_server->options.messageTimeout;
        const auto [error, size] = co_await http::async_write(m_socket, response, asTuple);
        m_writeDeadline.reset();
        m_pending.pop_front();
        if (error) {
            notifyCallerDisconnected();
            close();
            break;
        }
        if (!response.keep_alive()) {
            beast::error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            notifyCallerDisconnected();
            m_pending.clear();
            enterReadPhase(read_phase::discard);
            m_readDeadline = steady::now() + lingerTimeout;
            m_finished = true;
            break;
        }
        if (m_phase == read_phase::idle) {
            m_readDeadline = steady::now() + m_server->options.idleTimeout;
        }
        m_pipelineSlotTimer.cancel();
    }
    m_writing = false;
}

void http_server::connection::reject(result_code code)
{
    enterReadPhase(read_phase::discard);
    if (!m_server->options.makeRejection) {
        close();
        return;
    }
    const auto pending = std::make_shared<exchange>();
    pending->keepAlive = false;
    pending->response = m_server->options.makeRejection(code);
    m_pending.push_back(pending);
    startWritingResponses();
}

void http_server::connection::notifyCallerDisconnected()
{
    for (const exchange_ptr &pending : m_pending) {
        pending->callerDisconnected = true;
        if (const auto notify = std::move(pending->onCallerDisconnected)) {
            pending->onCallerDisconnected = nullptr;
            notify();
        }
    }
}

void http_server::connection::closeIfIdle(time_point now)
{
    if (now < m_firstRequestDeadline) {
        return;
    }
    // Closing the connection would lose a request that has arrived but has not been read yet.
    beast::error_code ignored;
    if (m_phase == read_phase::idle && m_pending.empty() && m_buffer.size() == 0 && m_socket.available(ignored) == 0) {
        close();
    }
}

void http_server::connection::enforceTimeouts(time_point now)
{
    if (m_writeDeadline && now >= *m_writeDeadline) {
        notifyCallerDisconnected();
        close();
        return;
    }
    // While the buffer is full, nothing is read that would show the close.
    if (m_requestWaiting && !m_watchingInput && hasCallerDisconnected()) {
        notifyCallerDisconnected();
        close();
    }
    if (m_server->stopped) {
        closeIfIdle(now);
    }
    if (m_closed || now < m_readDeadline) {
        return;
    }
    switch (m_phase) {
    case read_phase::idle:
        if (m_pending.empty()) {
            close();
        }
        return;
    case read_phase::head:
    case read_phase::body:
        if (m_pending.empty()) {
            m_timedOut = true;
            beast::error_code ignored;
            m_socket.cancel(ignored);
        }
        return;
    case read_phase::discard:
        close();
        return;
    }
}

void http_server::connection::close()
{
    m_closed = true;
    beast::error_code ignored;
    m_socket.close(ignored);
    m_pipelineSlotTimer.cancel();
}

}
