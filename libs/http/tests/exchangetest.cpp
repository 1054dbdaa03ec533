#include "cardamomdeck/http/httpconnection.h"
#include "cardamomdeck/http/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace cardamomdeck;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds exchangeTimeout{5000};
constexpr message_limits limits{32U * 1024U, 64ULL * 1024 * 1024};

/** What a server sends upon each request; @p endless repeats the last part until the caller closes. */
struct script
{
    std::vector<std::string> answers;
    std::string endless;
    bool reset = false;
    std::size_t sentBytes = 0;
};

asio::awaitable<void> play(tcp::acceptor &acceptor, script &play)
{
    auto [acceptError, socket] = co_await acceptor.async_accept(asTuple);
    std::string received;
    for (const std::string &answer : play.answers) {
        const auto [error, size]
            = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", asTuple);
        if (error) {
            co_return;
        }
        received.erase(0, size);
        co_await asio::async_write(socket, asio::buffer(answer), asTuple);
    }
    while (!play.endless.empty()) {
        const auto [error, size] = co_await asio::async_write(socket, asio::buffer(play.endless), asTuple);
        play.sentBytes += size;
        if (error) {
            co_return;
        }
    }
    if (play.reset) {
        socket.set_option(asio::socket_base::linger(true, 0));
        // The destructor would close it without a reset.
        socket.close();
    }
}

std::string answerTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** One connection that sends requests "1", "2", ... to a server that plays a script. */
struct connection_fixture
{
    explicit connection_fixture(script given)
        : server(std::move(given))
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , connection(context.get_executor())
    {
        startTask(context, "server", [this] { return play(acceptor, server); });
    }

    exchange_result exchange(byte_budget *budget = nullptr)
    {
        std::optional<exchange_result> result;
        const std::string id = std::to_string(++requests);
        startTask(context, "caller", [&]() -> asio::awaitable<void> {
            const time_point deadline = steady::now() + exchangeTimeout;
            if (requests == 1) {
                const socket_address address{"127.0.0.1", acceptor.local_endpoint().port()};
                co_await connection.connect(address, deadline);
            }
            http_request request(boost::beast::http::verb::get, "/", 11);
            request.set("id", id);
            response_rules rules;
            rules.accepts = [id](const http_response &response) {
                return response["id"].empty() || response["id"] == id;
            };
            rules.acceptsCloseDelimited = true;
            rules.budget = budget;
            result = co_await connection.exchange(std::move(request), limits, deadline, std::move(rules));
        });
        context.restart();
        while (!result) {
            context.run_one();
        }
        return std::move(*result);
    }

    asio::io_context context;
    script server;
    tcp::acceptor acceptor;
    http_connection connection;
    int requests = 0;
};

}

TestSuite(a_server_answers_twice);

Test(a_server_answers_twice, the_late_copy_is_not_taken_for_the_next_answer)
{
    connection_fixture talk({{answerTo("1", "first"), answerTo("1", "first") + answerTo("2", "second")}, "", false});
    cr_assert_eq(talk.exchange().response.body(), "first");
    cr_assert(talk.connection.isReusable());
    cr_assert_eq(talk.exchange().response.body(), "second");
}

Test(a_server_answers_twice, a_copy_that_is_there_already_closes_the_connection)
{
    connection_fixture talk({{answerTo("1", "first") + answerTo("1", "first")}, "", false});
    cr_assert_eq(talk.exchange().response.body(), "first");
    cr_assert_not(talk.connection.isReusable());
}

TestSuite(an_answer_breaks_off);

Test(an_answer_breaks_off, it_is_no_answer_however_its_end_was_announced)
{
    const std::vector<std::string> cut{
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nid",
    };
    for (const std::string &answer : cut) {
        cr_assert_eq(
            connection_fixture({{answer}, "", false}).exchange().code, result_code::answer_cut, "%s", answer.c_str());
    }
}

Test(an_answer_breaks_off, a_reset_is_not_the_end_of_an_answer_without_a_length)
{
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
    cr_assert_eq(connection_fixture({{head + "whole"}, "", false}).exchange().response.body(), "whole");
    cr_assert_neq(connection_fixture({{head + "half"}, "", true}).exchange().code, result_code::ok);
}

TestSuite(unbounded_responses);

Test(unbounded_responses, interim_answers_are_given_up_after_a_few)
{
    connection_fixture talk({{"HTTP/1.1 103 Early Hints\r\n\r\n"}, "HTTP/1.1 103 Early Hints\r\n\r\n", false});
    const time_point begun = steady::now();
    cr_assert_eq(talk.exchange().code, result_code::answer_malformed);
    cr_assert_lt(steady::now() - begun, exchangeTimeout / 2);
    cr_assert_not(talk.connection.isIdle());
}

Test(unbounded_responses, answers_to_other_requests_are_given_up_after_a_few)
{
    connection_fixture talk({{answerTo("9", "other")}, answerTo("9", std::string(10'000, 'x')), false});
    cr_assert_eq(talk.exchange().code, result_code::answer_malformed);
    cr_assert_lt(talk.server.sentBytes, 30'000'000);
}

Test(unbounded_responses, a_head_is_given_up_at_its_limit)
{
    connection_fixture talk({{"HTTP/1.1 200 OK\r\n"}, "a: " + std::string(1000, 'x') + "\r\n", false});
    cr_assert_eq(talk.exchange().code, result_code::answer_too_large);
}

Test(unbounded_responses, noise_is_given_up_at_once)
{
    connection_fixture talk({{std::string(100, '\x7f')}, std::string(1000, '\x7f'), false});
    cr_assert_eq(talk.exchange().code, result_code::answer_malformed);
}

Test(unbounded_responses, a_body_in_chunks_or_without_length_takes_no_more_than_the_budget)
{
    constexpr std::size_t bytes = 4U * 1024U * 1024U;
    for (const auto &[head, part] :
         {std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                              "3e8\r\n" + std::string(1000, 'x') + "\r\n"),
          std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", std::string(1000, 'x'))}) {
        byte_budget budget(bytes);
        connection_fixture talk({{head}, part, false});
        cr_assert_eq(talk.exchange(&budget).code, result_code::answer_too_large);
        cr_assert_eq(budget.used(), 0);
        cr_assert_lt(talk.server.sentBytes, 4 * bytes);
    }
}

Test(unbounded_responses, an_announced_size_beyond_the_budget_is_refused_before_it_is_read)
{
    byte_budget budget(1'000'000);
    connection_fixture talk(
        {{"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 900000\r\n\r\n"}, std::string(1000, 'x'), false});
    cr_assert_eq(talk.exchange(&budget).code, result_code::answer_too_large);
}
