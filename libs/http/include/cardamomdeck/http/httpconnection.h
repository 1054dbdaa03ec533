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
#include <boost/beast/http/parser.hpp>
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
    std::uint32_t maxHeadBytes = 16U * 1024U;
    std::uint64_t maxBodyBytes = 1024U * 1024U;
};

/** Which answers an exchange takes for its own. */
struct response_rules
{
    /** False for an answer to somebody else's request, which is skipped. Null accepts every answer. */
    std::function<bool(const http_response &)> accepts;
    /** Accepts answers whose end is the end of the connection; a reset is never taken for that end. */
    bool acceptsCloseDelimited = false;
    /** Memory that bodies are taken from; null for no bound but that of the message. Must outlive the result. */
    byte_budget *budget = nullptr;
};

/** How an exchange ended. */
struct exchange_result
{
    result_code code = result_code::ok;
    /** False only when no byte of the request can have left this process. */
    bool mayHaveSentBytes = false;
    /** Valid when the code is ok. */
    http_response response;
    /** Memory of the response's body. */
    byte_budget::reservation memory;
};

/**
 * One connection that carries one exchange at a time. After an exchange that
 * did not end cleanly, the connection is closed and never carries another, so
 * that a late answer cannot reach the wrong caller.
 */
class http_connection
{
public:
    /** An unconnected connection on @p executor. */
    explicit http_connection(const boost::asio::any_io_executor &executor);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /** Connects to @p address. Errors: connect_failed, deadline_unreachable. */
    boost::asio::awaitable<result_code> connect(socket_address address, time_point deadline);

    /**
     * Sends @p request and receives the whole answer, which may come before
     * the request is sent completely; then the connection is closed.
     * Errors: deadline_passed, answer_cut, answer_malformed (also after too many answers that are to be skipped),
     * answer_too_large (also when the budget is short), connection_lost.
     */
    boost::asio::awaitable<exchange_result>
    exchange(http_request request, message_limits limits, time_point deadline, response_rules rules);

    /** The same, taking the first answer for its own. */
    boost::asio::awaitable<exchange_result> exchange(http_request request, message_limits limits, time_point deadline);

    /** True when the connection is open and between exchanges, as far as is known without asking the system. */
    bool isIdle() const;

    /** True when, besides, the other end has neither closed it nor sent anything unasked for; closes it otherwise. */
    bool isReusable();

    /** When the other end last proved alive, by accepting the connection or by a whole answer. */
    time_point lastAliveAt() const;

    /** Closes the connection at once; an exchange in progress ends with connection_lost. */
    void close();

private:
    struct state;
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> send(const http_request &request, exchange_result &result);
    boost::asio::awaitable<result_code>
    receive(const http_request &request, message_limits limits, const response_rules &rules, exchange_result &result);
    boost::asio::awaitable<result_code> readResponse(response_parser &parser, byte_budget::reservation &memory);

    std::shared_ptr<state> m_state;
};

/** Connects, sends @p request once and closes. Errors: as connect() and exchange(). */
boost::asio::awaitable<exchange_result>
exchangeOnce(socket_address address, http_request request, message_limits limits, time_point deadline);

/** Removes the headers that belong to one connection only. */
void removeHopByHopHeaders(boost::beast::http::fields &headers);

}
