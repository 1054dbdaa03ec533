/**
 * @file
 * One connection of the HTTP server.
 */
#pragma once

#include "cardamomdeck/http/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace cardamomdeck {

/** State that the connections of a server share. */
struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(boost::asio::any_io_executor serverExecutor, handler serverHandler, server_options serverOptions)
        : executor(std::move(serverExecutor))
        , acceptor(executor)
        , handle(std::move(serverHandler))
        , options(std::move(serverOptions))
    {
    }

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> enforceTimeoutsLoop();
    void serve(boost::asio::ip::tcp::socket socket);
    /** Serves the connections of the listen backlog; closing the acceptor would reset them. */
    void acceptBacklog();

    boost::asio::any_io_executor executor;
    boost::asio::ip::tcp::acceptor acceptor;
    handler handle;
    server_options options;
    std::set<connection *> connections;
    /** Connections close after their next response. */
    bool closing = false;
    bool stopped = false;
};

/** Reads requests ahead of their responses; this also detects immediately when the caller closes the connection. */
class http_server::connection : public std::enable_shared_from_this<http_server::connection>
{
public:
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_server::state> server);
    ~connection();

    boost::asio::awaitable<void> run();

    /** Closes the connection if it is idle and the time to wait for its first request has passed at @p now. */
    void closeIfIdle(time_point now);

    /**
     * Closes the connection or cancels its read if a deadline has passed at @p now. Closes an idle connection if the
     * server has stopped.
     */
    void enforceTimeouts(time_point now);

private:
    class exchange;
    using exchange_ptr = std::shared_ptr<exchange>;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class read_phase {
        idle,
        head,
        body,
        discard, /**< Nothing more is served; all input is discarded. */
    };

    boost::asio::awaitable<bool> readFirstBytes();
    boost::asio::awaitable<bool> readHead(request_parser &parser);
    boost::asio::awaitable<bool> readBody(request_parser &parser, byte_budget::reservation &memory);
    boost::asio::awaitable<bool> readRequest();
    boost::asio::awaitable<void> discardInput();
    boost::asio::awaitable<http_response> handle(exchange_ptr pending);
    boost::asio::awaitable<void> waitForPipelineSlot();
    /** Calls readAhead() when input arrives, if the buffer has room for it. */
    void watchInput();
    /** Reads into the buffer what has arrived, which also shows that the caller has closed the connection. */
    void readAhead();
    /** True if the caller has closed the connection, even if input before the close has not been read. */
    bool hasCallerDisconnected();
    boost::asio::awaitable<void> writeResponses();
    void serve(exchange_ptr pending);
    void reject(result_code code);
    void startWritingResponses();
    void notifyCallerDisconnected();
    void enterReadPhase(read_phase phase);
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<http_server::state> m_server;
    /** Requests whose response has not been written yet, oldest first. */
    std::deque<exchange_ptr> m_pending;
    boost::asio::steady_timer m_pipelineSlotTimer;
    read_phase m_phase = read_phase::idle;
    time_point m_readDeadline;
    std::optional<time_point> m_writeDeadline;
    /** A stopping server, too, waits for the first request until this time. */
    time_point m_firstRequestDeadline;
    /** A request has been read and waits for a pipeline slot. */
    bool m_requestWaiting = false;
    bool m_watchingInput = false;
    bool m_writing = false;
    bool m_timedOut = false;
    /** The header of the last response announces the close; no further request is served. */
    bool m_closeAnnounced = false;
    /** The last response has been written; all input is discarded. */
    bool m_finished = false;
    bool m_closed = false;
};

}
