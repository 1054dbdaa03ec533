/**
 * @file
 * Client side of one HTTP/1.1 connection.
 */
#pragma once

#include "cardamomdeck/base/bytebudget.h"
#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace cardamomdeck {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/** Size limits of one message, in bytes. */
struct message_limits
{
    std::uint32_t maxHeaderBytes = 16U * 1024U;
    std::uint64_t maxBodyBytes = 1024U * 1024U;
};

/** Whether a response belongs to the request of an exchange. */
enum class response_match {
    this_request, /**< The exchange ends with the response. */
    other_request, /**< The response is skipped. */
    unidentified, /**< It is not known which request it answers; the exchange fails with answer_malformed. */
};

/** Which responses an exchange accepts. */
struct response_rules
{
    /** Matches each final response with the request. Null accepts every response. */
    std::function<response_match(const http_response &)> match;
    /** Called with the header of the response to the request, before its body is read, if not null. */
    std::function<void(const http_response &)> headerReceived;
    /** Accepts responses that are delimited by the close of the connection; a reset never counts as the end. */
    bool acceptsCloseDelimited = false;
    /** Memory budget of the bodies; with null only the message limits apply. Must outlive the result. */
    byte_budget *budget = nullptr;
};

class response_parser;

/** Result of an exchange. */
struct exchange_result
{
    result_code code = result_code::ok;
    /** False only if no byte of the request can have left this process. */
    bool mayHaveSentBytes = false;
    /** Valid if the code is ok. */
    http_response response;
    /** Memory reservation of the response body. */
    byte_budget::reservation memory;
};

/**
 * HTTP connection that carries one exchange at a time. After an exchange that
 * did not end cleanly, the connection is closed and never reused, so that a
 * late response cannot reach the wrong caller.
 */
class http_connection
{
public:
    /** Creates an unconnected connection on @p executor. */
    explicit http_connection(const boost::asio::any_io_executor &executor);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /** Connects to @p address. Errors: connect_failed, deadline_unreachable. */
    boost::asio::awaitable<result_code> connect(socket_address address, time_point deadline);

    /**
     * Sends @p request and receives the complete response. If the response is complete before the request has been
     * sent, the connection is closed.
     * Errors: deadline_passed, answer_cut, answer_malformed (also after too many skipped responses),
     * answer_too_large (also if the memory budget is exhausted), connection_lost.
     */
    boost::asio::awaitable<exchange_result>
    exchange(http_request request, message_limits limits, time_point deadline, response_rules rules);

    /** The same with default response rules, which accept the first final response. */
    boost::asio::awaitable<exchange_result> exchange(http_request request, message_limits limits, time_point deadline);

    /** True if the connection is open and carries no exchange. Does not check the state of the socket. */
    bool isIdle() const;

    /**
     * True if the connection is idle and the peer has neither closed it nor sent unsolicited bytes. Otherwise closes
     * the connection if it is idle.
     */
    bool isReusable();

    /** Time at which the peer last accepted the connection or sent a complete response. */
    time_point lastAliveAt() const;

    /** Closes the connection immediately; an exchange in progress ends with connection_lost. */
    void close();

private:
    struct state;

    boost::asio::awaitable<bool> send(const http_request &request, exchange_result &result);
    boost::asio::awaitable<result_code>
    receive(const http_request &request, message_limits limits, const response_rules &rules, exchange_result &result);
    boost::asio::awaitable<result_code>
    readResponse(response_parser &parser, const response_rules &rules, byte_budget::reservation &memory);

    std::shared_ptr<state> m_state;
};

/** Performs one exchange on a new connection and closes it. Errors: those of connect() and exchange(). */
boost::asio::awaitable<exchange_result>
exchangeOnce(socket_address address, http_request request, message_limits limits, time_point deadline);

/** Removes the hop-by-hop headers, including those that the Connection header names. */
void removeHopByHopHeaders(boost::beast::http::fields &headers);

}
