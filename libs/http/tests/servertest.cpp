#include "cardamomdeck/http/httpserver.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace cardamomdeck;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t pipelineDepth = 4;

/** Half a second after a caller has left, its requests are no longer worked on. */
constexpr milliseconds maxDisconnectDelay{400};

/** Time in which a close is noticed that can be read; shorter than the interval of the timeout checks. */
constexpr milliseconds maxReadDelay{100};

socket_address freeAddress()
{
    asio::io_context context;
    const tcp::acceptor probe(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
}

std::string makePost(const std::string &body, std::size_t contentLength = 0)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(std::max(contentLength, body.size()))
           + "\r\n\r\n" + body;
}

/** An HTTP server in this process and callers with blocking sockets. The server runs only during run(). */
struct server_fixture
{
    explicit server_fixture(http_server::handler handler, byte_budget *budget = nullptr)
        : address(freeAddress())
        , server(context.get_executor(), std::move(handler), optionsWith(budget))
    {
        cr_assert_eq(server.listen(address), result_code::ok);
    }

    static server_options optionsWith(byte_budget *budget)
    {
        server_options options;
        options.budget = budget;
        options.maxPipelineDepth = pipelineDepth;
        options.makeRejection = [](result_code code) {
            return makeResponse(infoOf(code).httpStatus, std::string(infoOf(code).name));
        };
        return options;
    }

    tcp::socket connect(const std::string &bytes)
    {
        tcp::socket socket(callers);
        socket.connect(tcp::endpoint(asio::ip::make_address(address.host), address.port));
        asio::write(socket, asio::buffer(bytes));
        return socket;
    }

    void run(milliseconds span = milliseconds(60))
    {
        context.restart();
        context.run_for(span);
    }

    /** Returns the bytes that have arrived at @p socket, or "reset" after a connection reset. */
    static std::string received(tcp::socket &socket)
    {
        boost::system::error_code error;
        socket.non_blocking(true);
        std::string text(100'000, '\0');
        const std::size_t size = socket.read_some(asio::buffer(text), error);
        text.resize(size);
        return error == asio::error::connection_reset ? "reset" : text;
    }

    /** Reads until the server closes the connection or sends nothing for some time. */
    std::string receiveAll(tcp::socket &socket)
    {
        constexpr int maxIdleRuns = 5;
        std::string text;
        for (int idleRuns = 0; idleRuns < maxIdleRuns;) {
            const std::string part = received(socket);
            idleRuns = part.empty() ? idleRuns + 1 : 0;
            text += part;
            run(milliseconds(1));
        }
        return text;
    }

    asio::io_context context;
    asio::io_context callers;
    socket_address address;
    http_server server;
};

asio::awaitable<http_response> echo(http_request &request, http_exchange &)
{
    co_return makeResponse(200, request.body());
}

/** Responds to the body "large" with @p largeSize bytes, and to any other with a copy. */
asio::awaitable<http_response> countAndRespond(http_request &request, int &served, std::size_t largeSize)
{
    ++served;
    co_return makeResponse(200, request.body() == "large" ? std::string(largeSize, 'x') : request.body());
}

/** Responds only after the caller has disconnected. */
asio::awaitable<http_response> waitForDisconnect(http_exchange &exchange, int &served, int &disconnected)
{
    ++served;
    asio::steady_timer timer(co_await asio::this_coro::executor, time_point::max());
    exchange.watchCaller([&] {
        ++disconnected;
        timer.cancel();
    });
    co_await timer.async_wait(asTuple);
    co_return makeResponse(200, "");
}

asio::awaitable<http_response> throwOnBadRequest(http_request &request, http_exchange &)
{
    if (request.body() == "bad") {
        throw std::runtime_error("unexpected");
    }
    co_return makeResponse(200, "good");
}

asio::awaitable<http_response> respondWithLargeBody(byte_budget &budget, std::size_t size, http_exchange &exchange)
{
    byte_budget::reservation memory = budget.makeReservation();
    cr_assert(memory.growTo(size));
    exchange.holdUntilWritten(std::move(memory));
    co_return makeResponse(200, std::string(size, 'x'));
}

}

TestSuite(request_handler_exception);

Test(request_handler_exception, returns_unknown_outcome_and_does_not_affect_other_requests)
{
    server_fixture fixture(throwOnBadRequest);
    tcp::socket failing = fixture.connect(makePost("bad"));
    fixture.run();
    cr_assert(server_fixture::received(failing).starts_with("HTTP/1.1 502"));
    tcp::socket other = fixture.connect(makePost("fine"));
    fixture.run();
    cr_assert(server_fixture::received(other).ends_with("good"));
}

TestSuite(graceful_stop_under_load);

Test(graceful_stop_under_load, unread_requests_are_answered)
{
    server_fixture fixture(echo);
    tcp::socket kept = fixture.connect(makePost("one"));
    fixture.run();
    cr_assert(server_fixture::received(kept).ends_with("one"));
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 20; ++i) {
        waiting.push_back(fixture.connect(makePost("new")));
    }
    asio::write(kept, asio::buffer(makePost("two")));
    fixture.server.stopGracefully();
    fixture.run();
    for (tcp::socket &socket : waiting) {
        cr_assert(server_fixture::received(socket).ends_with("new"));
    }
    cr_assert(server_fixture::received(kept).ends_with("two"));
}

Test(graceful_stop_under_load, no_request_is_lost_at_any_step_of_accepting)
{
    constexpr int maxSteps = 30;
    for (int steps = 0; steps < maxSteps; ++steps) {
        server_fixture fixture(echo);
        std::vector<tcp::socket> waiting;
        for (int i = 0; i < 3; ++i) {
            waiting.push_back(fixture.connect(makePost("new")));
        }
        for (int step = 0; step < steps; ++step) {
            fixture.context.poll_one();
        }
        fixture.server.stopGracefully();
        fixture.run(milliseconds(20));
        for (tcp::socket &socket : waiting) {
            cr_assert(server_fixture::received(socket).ends_with("new"), "stopped after %d steps", steps);
        }
    }
}

Test(graceful_stop_under_load, new_connection_may_still_send_its_request)
{
    server_fixture fixture(echo);
    tcp::socket connected = fixture.connect("");
    fixture.run();
    fixture.server.stopGracefully();
    fixture.run();
    asio::write(connected, asio::buffer(makePost("late")));
    fixture.run();
    cr_assert(server_fixture::received(connected).ends_with("late"));
}

Test(graceful_stop_under_load, connection_without_a_request_does_not_delay_the_stop)
{
    server_fixture fixture(echo);
    const tcp::socket connected = fixture.connect("");
    fixture.run();
    fixture.server.stopGracefully();
    fixture.run(milliseconds(1200));
    cr_assert_eq(fixture.server.connectionCount(), 0);
}

// Guards against requests that are served while the response that announces the close of their connection is written.
Test(graceful_stop_under_load, request_that_arrives_during_the_last_response_is_not_served)
{
    constexpr std::size_t largeSize = 16U * 1024U * 1024U;
    int served = 0;
    server_fixture fixture(
        [&](http_request &request, http_exchange &) { return countAndRespond(request, served, largeSize); });
    tcp::socket caller = fixture.connect(makePost("large"));
    fixture.run();
    fixture.server.closeAfterResponses();
    asio::write(caller, asio::buffer(makePost("small")));
    tcp::socket stopping = fixture.connect(makePost("large"));
    fixture.run();
    cr_assert_eq(served, 3);
    asio::write(stopping, asio::buffer(makePost("small")));
    fixture.run();
    const std::string closing = fixture.receiveAll(stopping);
    cr_assert_neq(closing.find("Connection: close"), std::string::npos);
    cr_assert_eq(served, 3);
    // The first connection announced nothing before its second request, so that is answered.
    cr_assert(fixture.receiveAll(caller).ends_with("small"));
}

TestSuite(contradictory_framing);

// Guards against request smuggling: the body of a request is served as a further request.
Test(contradictory_framing, is_rejected_and_nothing_after_it_is_served)
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string chunked = "0\r\n\r\n";
    const std::vector<std::string> framings{
        "Transfer-Encoding: gzip\r\n\r\n" + hidden,
        "Transfer-Encoding: identity\r\n\r\n" + hidden,
        "Transfer-Encoding: chunked, identity\r\n\r\n" + hidden,
        "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunked,
        "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunked,
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + chunked,
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
        "Transfer-Encoding: xchunked\r\n\r\n" + hidden,
        "Transfer-Encoding: \r\n\r\n" + hidden,
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunked,
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
        "Content-Length: 0\r\nContent-Length: 36\r\n\r\n" + hidden,
        "Content-Length: 0, 36\r\n\r\n" + hidden,
        "Content-Length: +5\r\n\r\nabcde",
        "Content-Length: -1\r\n\r\n" + hidden,
    };
    for (const std::string &framing : framings) {
        int served = 0;
        server_fixture fixture(
            [&](http_request &request, http_exchange &) { return countAndRespond(request, served, 0); });
        tcp::socket caller = fixture.connect("POST / HTTP/1.1\r\nHost: a\r\n" + framing + hidden);
        const std::string response = fixture.receiveAll(caller);
        cr_assert(response.starts_with("HTTP/1.1 400"), "%s", framing.c_str());
        cr_assert_eq(response.find("HTTP/1.1", 1), std::string::npos, "%s", framing.c_str());
        cr_assert_eq(served, 0, "%s", framing.c_str());
    }
    // HTTP/1.0 has no transfer codings.
    int served = 0;
    server_fixture fixture([&](http_request &request, http_exchange &) { return countAndRespond(request, served, 0); });
    tcp::socket caller = fixture.connect("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked + hidden);
    cr_assert_neq(fixture.receiveAll(caller).find(" 400 "), std::string::npos);
    cr_assert_eq(served, 0);
}

Test(contradictory_framing, usual_framings_are_served)
{
    for (const std::string framing : {"Content-Length: 5\r\n\r\nabcde",
                                      "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
                                      "Transfer-Encoding: Chunked\r\n\r\n5;x=y\r\nabcde\r\n0\r\nt: v\r\n\r\n"}) {
        server_fixture fixture(echo);
        tcp::socket caller = fixture.connect("POST / HTTP/1.1\r\nHost: a\r\n" + framing);
        cr_assert(fixture.receiveAll(caller).ends_with("abcde"), "%s", framing.c_str());
    }
}

TestSuite(trailers_of_requests);

namespace {

/** Responds with the names and values of the header. */
asio::awaitable<http_response> echoHeader(http_request &request, http_exchange &)
{
    std::string text = std::string(request.method_string()) + " " + std::string(request.target()) + ";";
    for (const auto &field : request) {
        text += std::string(field.name_string()) + "=" + std::string(field.value()) + ";";
    }
    co_return makeResponse(200, text + request.body());
}

}

// Guards against fields after the body that count as the caller's header, such as a second host or a forged identity.
Test(trailers_of_requests, are_dropped_and_the_header_is_kept)
{
    for (const std::string trailers : {"", "A: forged\r\n", "B: new\r\na: x\r\nHost: b\r\nA: y\r\n"}) {
        server_fixture fixture(echoHeader);
        tcp::socket caller = fixture.connect("PUT /t HTTP/1.1\r\nHost: a\r\nA: 1\r\nTransfer-Encoding: chunked\r\n"
                                             "Trailer: A, B\r\n\r\n4\r\nbody\r\n0\r\n"
                                             + trailers + "\r\n" + makePost("next"));
        fixture.run();
        const std::string responses = server_fixture::received(caller);
        const std::string expected = "PUT /t;Host=a;A=1;Transfer-Encoding=chunked;Trailer=A, B;body";
        cr_assert_neq(
            responses.find("\r\n\r\n" + expected + "HTTP/1.1 200"), std::string::npos, "%s", responses.c_str());
        cr_assert(responses.ends_with("POST /;Host=a;Content-Length=4;next"), "%s", responses.c_str());
    }
}

TestSuite(full_pipeline);

// Guards against a close that is noticed only after a response: a connection with a full pipeline was not read.
Test(full_pipeline, close_by_the_caller_is_noticed_and_waiting_requests_are_not_served)
{
    // Requests beyond the read buffer hide the close until the next check of the timeouts.
    for (const auto &[bodySize, maxDelay] :
         {std::pair(std::size_t{10}, maxReadDelay), std::pair(std::size_t{13'000}, maxDisconnectDelay)}) {
        int served = 0;
        int disconnected = 0;
        server_fixture fixture(
            [&](http_request &, http_exchange &exchange) { return waitForDisconnect(exchange, served, disconnected); });
        std::string requests;
        for (std::size_t i = 0; i < 3 * pipelineDepth; ++i) {
            requests += makePost(std::string(bodySize, 'x'));
        }
        tcp::socket caller = fixture.connect(requests);
        fixture.run();
        cr_assert_eq(served, pipelineDepth);
        cr_assert_eq(disconnected, 0);
        caller.close();
        fixture.run(maxDelay);
        cr_assert_eq(disconnected, pipelineDepth, "%d of bodies of %zu bytes", disconnected, bodySize);
        cr_assert_eq(served, pipelineDepth);
    }
}

Test(full_pipeline, waiting_requests_are_served_in_order)
{
    server_fixture fixture(echo);
    std::string requests;
    for (std::size_t i = 0; i < 5 * pipelineDepth; ++i) {
        requests += makePost(std::to_string(i) + ";" + std::string(10'000, 'x'));
    }
    tcp::socket caller = fixture.connect(requests);
    const std::string responses = fixture.receiveAll(caller);
    std::size_t position = 0;
    for (std::size_t i = 0; i < 5 * pipelineDepth; ++i) {
        position = responses.find("\r\n\r\n" + std::to_string(i) + ";", position);
        cr_assert_neq(position, std::string::npos, "response %zu", i);
    }
}

TestSuite(body_memory_limit);

Test(body_memory_limit, requests_beyond_the_budget_are_rejected_and_others_are_served)
{
    byte_budget budget(1'000'000);
    server_fixture fixture(echo, &budget);
    std::vector<tcp::socket> stalledCallers;
    for (int i = 0; i < 20; ++i) {
        stalledCallers.push_back(fixture.connect(makePost("beginning", 200'000)));
    }
    fixture.run();
    int rejected = 0;
    for (tcp::socket &socket : stalledCallers) {
        rejected += server_fixture::received(socket).starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    cr_assert_eq(rejected, 15);
    cr_assert_leq(budget.used(), budget.limit());
    stalledCallers.clear();
    fixture.run();
    cr_assert_eq(budget.used(), 0);
    tcp::socket other = fixture.connect(makePost("fine"));
    fixture.run();
    cr_assert(server_fixture::received(other).ends_with("fine"));
}

Test(body_memory_limit, response_holds_its_memory_until_it_is_written)
{
    constexpr std::size_t size = 64U * 1024U * 1024U;
    byte_budget budget(2 * size);
    server_fixture fixture(
        [&](http_request &, http_exchange &exchange) { return respondWithLargeBody(budget, size, exchange); }, nullptr);
    tcp::socket slow = fixture.connect(makePost(""));
    fixture.run();
    cr_assert_eq(budget.used(), size);
    slow.close();
    fixture.run();
    cr_assert_eq(budget.used(), 0);
}
