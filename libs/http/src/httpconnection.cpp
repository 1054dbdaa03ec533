#include "cardamomdeck/http/httpconnection.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/http/tasks.h"
#include "private/bodymemory.h"
#include "private/responseparser.h"
#include "private/transfercoding.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <vector>

namespace cardamomdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** Requests with bodies of up to this many bytes are written completely before the response is read. */
constexpr std::size_t directWriteBytes = 16U * 1024U;

/** TCP_USER_TIMEOUT: the connection fails if the peer does not acknowledge sent data within this time. */
constexpr int tcpUserTimeoutMs = 3000;

/**
 * Maximum number of skipped responses per exchange: interim responses and late responses to earlier requests. A server
 * that sends more is not expected to send the response.
 */
constexpr std::size_t maxSkippedResponses = 16;

/**
 * Capacity in bytes of the read buffer beyond the maximum header size. Beast buffers the size line of a chunk and the
 * trailer until they are complete, so without a limit a line that never ends would fill the memory.
 */
constexpr std::size_t bodyReadBytes = 64U * 1024U;

result_code codeOfReadError(const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return result_code::deadline_passed;
    }
    if (error == http::error::partial_message || error == http::error::end_of_stream) {
        return result_code::answer_cut;
    }
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow) {
        return result_code::answer_too_large;
    }
    if (error.category() == make_error_code(http::error::bad_version).category()) {
        return result_code::answer_malformed;
    }
    return result_code::connection_lost;
}

/** Returns whether HTTP defines the class of the status; the parser accepts any three digits. */
bool hasValidStatus(const http_response &response)
{
    constexpr unsigned firstStatus = 100;
    constexpr unsigned lastStatus = 599;
    return response.result_int() >= firstStatus && response.result_int() <= lastStatus;
}

bool isInterim(const http_response &response)
{
    const unsigned status = response.result_int();
    return status >= 100 && status < 200;
}

response_match matchResponse(const response_rules &rules, const http_response &response)
{
    return rules.match ? rules.match(response) : response_match::this_request;
}

}

struct http_connection::state
{
    /** Progress of a request; a large one is sent in the background while its response is read. */
    enum class send_progress {
        pending,
        complete,
        failed,
    };

    explicit state(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point lastAliveAt;
    bool open = false;
    bool busy = false;
    send_progress sending = send_progress::complete;
};

http_connection::http_connection(const asio::any_io_executor &executor)
    : m_state(std::make_shared<state>(executor))
{
}

http_connection::~http_connection() = default;

asio::awaitable<result_code> http_connection::connect(socket_address address, time_point deadline)
{
    beast::error_code addressError;
    const auto host = asio::ip::make_address(address.host, addressError);
    if (addressError) {
        co_return result_code::connect_failed;
    }
    m_state->stream.expires_at(deadline);
    const tcp::endpoint endpoint(host, address.port);
    const auto [error] = co_await m_state->stream.async_connect(endpoint, asTuple);
    if (error) {
        close();
        co_return error == beast::error::timeout ? result_code::deadline_unreachable : result_code::connect_failed;
    }
    beast::error_code ignored;
    m_state->stream.socket().set_option(tcp::no_delay(true), ignored);
    ::setsockopt(m_state->stream.socket().native_handle(),
                 IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &tcpUserTimeoutMs,
                 sizeof tcpUserTimeoutMs);
    m_state->open = true;
    m_state->lastAliveAt = steady::now();
    co_return result_code::ok;
}

asio::awaitable<bool> http_connection::send(const http_request &request, exchange_result &result)
{
    const std::shared_ptr<state> state = m_state;
    result.mayHaveSentBytes = true;
    if (request.body().size() > directWriteBytes) {
        // The peer may respond before it has read the complete request.
        state->sending = state::send_progress::pending;
        startTask(state->stream.get_executor(), "long_request", [state, copy = request]() -> asio::awaitable<void> {
            const auto [error, written] = co_await http::async_write(state->stream, copy, asTuple);
            state->sending = error ? state::send_progress::failed : state::send_progress::complete;
        });
        co_return true;
    }
    const auto [error, written] = co_await http::async_write(state->stream, request, asTuple);
    if (!error) {
        co_return true;
    }
    result.mayHaveSentBytes = written > 0 || error == beast::error::timeout;
    result.code = error == beast::error::timeout ? result_code::deadline_passed : result_code::connection_lost;
    co_return false;
}

asio::awaitable<result_code>
http_connection::readResponse(response_parser &parser, const response_rules &rules, byte_budget::reservation &memory)
{
    const std::shared_ptr<state> state = m_state;
    const auto [headerError, headerSize]
        = co_await http::async_read_header(state->stream, state->buffer, parser, asTuple);
    if (headerError) {
        co_return codeOfReadError(headerError);
    }
    if (!hasValidStatus(parser.get()) || !hasSupportedTransferCoding(parser.get())) {
        co_return result_code::answer_malformed;
    }
    if (rules.headerReceived && !isInterim(parser.get())
        && matchResponse(rules, parser.get()) == response_match::this_request) {
        rules.headerReceived(parser.get());
    }
    parser.eager(true);
    while (!parser.is_done()) {
        if (!reserveBodyMemory(parser, memory)) {
            log_line("answer_dropped")
                .add("reason", "memory_short")
                .add("bytes", parser.get().body().size())
                .add("size", parser.content_length().value_or(0))
                .warn();
            co_return result_code::answer_too_large;
        }
        const auto [error, size] = co_await http::async_read_some(state->stream, state->buffer, parser, asTuple);
        if (error) {
            co_return codeOfReadError(error);
        }
    }
    co_return result_code::ok;
}

asio::awaitable<result_code> http_connection::receive(const http_request &request,
                                                      message_limits limits,
                                                      const response_rules &rules,
                                                      exchange_result &result)
{
    const std::shared_ptr<state> state = m_state;
    for (std::size_t skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        byte_budget::reservation memory = openReservation(rules.budget);
        response_parser parser;
        parser.header_limit(limits.maxHeaderBytes);
        parser.body_limit(limits.maxBodyBytes);
        parser.skip(request.method() == http::verb::head);
        const result_code code = co_await readResponse(parser, rules, memory);
        if (code != result_code::ok) {
            co_return code;
        }
        if (isInterim(parser.get())) {
            continue;
        }
        const bool closeDelimited = parser.need_eof();
        if (closeDelimited && !rules.acceptsCloseDelimited && !parser.get().body().empty()) {
            // The end of such a body cannot be distinguished from a truncation.
            co_return result_code::answer_malformed;
        }
        if (closeDelimited && state->sending == state::send_progress::failed) {
            // A reset that fails the write of the request is not reported again by the read, which sees a regular end.
            co_return result_code::answer_cut;
        }
        const response_match match = matchResponse(rules, parser.get());
        if (match == response_match::unidentified) {
            co_return result_code::answer_malformed;
        }
        if (match == response_match::other_request) {
            if (closeDelimited) {
                co_return result_code::connection_lost;
            }
            continue;
        }
        const bool reusable
            = parser.keep_alive() && !closeDelimited && state->sending == state::send_progress::complete;
        result.response = parser.release();
        result.memory = std::move(memory);
        state->lastAliveAt = steady::now();
        state->busy = false;
        // Bytes after the response belong to no exchange; the next request must not read them as its response.
        if (!reusable || state->buffer.size() > 0) {
            close();
        }
        co_return result_code::ok;
    }
    co_return result_code::answer_malformed;
}

asio::awaitable<exchange_result>
http_connection::exchange(http_request request, message_limits limits, time_point deadline, response_rules rules)
{
    exchange_result result;
    m_state->busy = true;
    m_state->buffer.max_size(limits.maxHeaderBytes + bodyReadBytes);
    m_state->stream.expires_at(deadline);
    if (!co_await send(request, result)) {
        close();
        co_return result;
    }
    result.code = co_await receive(request, limits, rules, result);
    if (result.code != result_code::ok) {
        close();
    }
    co_return result;
}

asio::awaitable<exchange_result>
http_connection::exchange(http_request request, message_limits limits, time_point deadline)
{
    // An overload instead of a default argument: GCC 12 destroys temporaries of an awaited call twice.
    return exchange(std::move(request), limits, deadline, response_rules());
}

bool http_connection::isIdle() const
{
    return m_state->open && !m_state->busy;
}

bool http_connection::isReusable()
{
    if (!isIdle()) {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(m_state->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return true;
    }
    close();
    return false;
}

time_point http_connection::lastAliveAt() const
{
    return m_state->lastAliveAt;
}

void http_connection::close()
{
    m_state->open = false;
    beast::error_code ignored;
    m_state->stream.socket().close(ignored);
}

asio::awaitable<exchange_result>
exchangeOnce(socket_address address, http_request request, message_limits limits, time_point deadline)
{
    http_connection connection(co_await asio::this_coro::executor);
    exchange_result result;
    result.code = co_await connection.connect(std::move(address), deadline);
    if (result.code != result_code::ok) {
        co_return result;
    }
    co_return co_await connection.exchange(std::move(request), limits, deadline);
}

void removeHopByHopHeaders(http::fields &headers)
{
    std::vector<std::string> connectionOptions;
    for (const auto &token : http::token_list(headers[http::field::connection])) {
        connectionOptions.emplace_back(token);
    }
    for (const std::string &name : connectionOptions) {
        headers.erase(name);
    }
    for (const http::field field : {http::field::connection,
                                    http::field::keep_alive,
                                    http::field::proxy_authenticate,
                                    http::field::proxy_authorization,
                                    http::field::proxy_connection,
                                    http::field::te,
                                    http::field::trailer,
                                    http::field::transfer_encoding,
                                    http::field::upgrade}) {
        headers.erase(field);
    }
}

}
