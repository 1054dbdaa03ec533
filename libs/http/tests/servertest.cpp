#include "cardamomdeck/http/httpserver.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace cardamomdeck;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

socket_address freeAddress()
{
    asio::io_context context;
    const tcp::acceptor probe(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
}

std::string post(const std::string &body, std::size_t announced = 0)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(std::max(announced, body.size()))
           + "\r\n\r\n" + body;
}

/** A server in this process, and callers with blocking sockets; the server runs while run() is called. */
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

    /** What has arrived at @p socket, or "reset". */
    static std::string received(tcp::socket &socket)
    {
        boost::system::error_code error;
        socket.non_blocking(true);
        std::string text(100'000, '\0');
        const std::size_t size = socket.read_some(asio::buffer(text), error);
        text.resize(size);
        return error == asio::error::connection_reset ? "reset" : text;
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

asio::awaitable<http_response> failAtBad(http_request &request, http_exchange &)
{
    if (request.body() == "bad") {
        throw std::runtime_error("unexpected");
    }
    co_return makeResponse(200, "good");
}

asio::awaitable<http_response> answerLarge(byte_budget &budget, std::size_t size, http_exchange &session)
{
    byte_budget::reservation memory = budget.makeReservation();
    cr_assert(memory.growTo(size));
    session.holdUntilWritten(std::move(memory));
    co_return makeResponse(200, std::string(size, 'x'));
}

}

TestSuite(an_exception_leaves_the_handler_of_a_request);

Test(an_exception_leaves_the_handler_of_a_request, its_caller_hears_that_the_outcome_is_unknown_and_others_are_served)
{
    server_fixture entry(failAtBad);
    tcp::socket failing = entry.connect(post("bad"));
    entry.run();
    cr_assert(server_fixture::received(failing).starts_with("HTTP/1.1 502"));
    tcp::socket other = entry.connect(post("fine"));
    entry.run();
    cr_assert(server_fixture::received(other).ends_with("good"));
}

TestSuite(a_server_stops_under_load);

Test(a_server_stops_under_load, requests_that_nobody_has_read_yet_are_answered)
{
    server_fixture entry(echo);
    tcp::socket kept = entry.connect(post("one"));
    entry.run();
    cr_assert(server_fixture::received(kept).ends_with("one"));
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 20; ++i) {
        waiting.push_back(entry.connect(post("new")));
    }
    asio::write(kept, asio::buffer(post("two")));
    entry.server.stopGracefully();
    entry.run();
    for (tcp::socket &socket : waiting) {
        cr_assert(server_fixture::received(socket).ends_with("new"));
    }
    cr_assert(server_fixture::received(kept).ends_with("two"));
}

Test(a_server_stops_under_load, at_whatever_step_of_accepting_it_is_asked_to)
{
    constexpr int mostSteps = 30;
    for (int steps = 0; steps < mostSteps; ++steps) {
        server_fixture entry(echo);
        std::vector<tcp::socket> waiting;
        for (int i = 0; i < 3; ++i) {
            waiting.push_back(entry.connect(post("new")));
        }
        for (int step = 0; step < steps; ++step) {
            entry.context.poll_one();
        }
        entry.server.stopGracefully();
        entry.run(milliseconds(20));
        for (tcp::socket &socket : waiting) {
            cr_assert(server_fixture::received(socket).ends_with("new"), "stopped after %d steps", steps);
        }
    }
}

Test(a_server_stops_under_load, a_connection_that_was_just_made_may_send_its_request)
{
    server_fixture entry(echo);
    tcp::socket made = entry.connect("");
    entry.run();
    entry.server.stopGracefully();
    entry.run();
    asio::write(made, asio::buffer(post("late")));
    entry.run();
    cr_assert(server_fixture::received(made).ends_with("late"));
}

Test(a_server_stops_under_load, a_connection_without_a_request_does_not_keep_it)
{
    server_fixture entry(echo);
    const tcp::socket made = entry.connect("");
    entry.run();
    entry.server.stopGracefully();
    entry.run(milliseconds(1200));
    cr_assert_eq(entry.server.connectionCount(), 0);
}

TestSuite(body_memory_limit);

Test(body_memory_limit, a_request_without_room_is_refused_and_the_others_are_served)
{
    byte_budget budget(1'000'000);
    server_fixture entry(echo, &budget);
    std::vector<tcp::socket> stalled;
    for (int i = 0; i < 20; ++i) {
        stalled.push_back(entry.connect(post("beginning", 200'000)));
    }
    entry.run();
    int refused = 0;
    for (tcp::socket &socket : stalled) {
        refused += server_fixture::received(socket).starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    cr_assert_eq(refused, 15);
    cr_assert_leq(budget.used(), budget.limit());
    stalled.clear();
    entry.run();
    cr_assert_eq(budget.used(), 0);
    tcp::socket other = entry.connect(post("fine"));
    entry.run();
    cr_assert(server_fixture::received(other).ends_with("fine"));
}

Test(body_memory_limit, an_answer_holds_its_memory_until_it_is_written)
{
    constexpr std::size_t size = 64U * 1024U * 1024U;
    byte_budget budget(2 * size);
    server_fixture entry([&](http_request &, http_exchange &session) { return answerLarge(budget, size, session); },
                         nullptr);
    tcp::socket slow = entry.connect(post(""));
    entry.run();
    cr_assert_eq(budget.used(), size);
    slow.close();
    entry.run();
    cr_assert_eq(budget.used(), 0);
}
