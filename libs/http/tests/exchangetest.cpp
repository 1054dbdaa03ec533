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

/** Responses of a scripted server, one for each request; @p endless is then sent repeatedly until the caller closes. */
struct server_script
{
    std::vector<std::string> responses;
    std::string endless;
    bool reset = false;
    std::size_t sentBytes = 0;
    /** Delay of the reset after the last response. */
    milliseconds resetDelay{0};
    /** After the last response, ends its own direction only and discards all further input. */
    bool discardsInput = false;
};

asio::awaitable<void> runServer(tcp::acceptor &acceptor, server_script &script)
{
    auto [acceptError, socket] = co_await acceptor.async_accept(asTuple);
    std::string received;
    for (const std::string &responseText : script.responses) {
        const auto [error, size]
            = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", asTuple);
        if (error) {
            co_return;
        }
        received.erase(0, size);
        co_await asio::async_write(socket, asio::buffer(responseText), asTuple);
    }
    while (!script.endless.empty()) {
        const auto [error, size] = co_await asio::async_write(socket, asio::buffer(script.endless), asTuple);
        script.sentBytes += size;
        if (error) {
            co_return;
        }
    }
    if (script.discardsInput) {
        socket.shutdown(tcp::socket::shutdown_send);
        std::string discarded(65536, '\0');
        for (;;) {
            const auto [error, size] = co_await socket.async_read_some(asio::buffer(discarded), asTuple);
            if (error) {
                co_return;
            }
        }
    }
    if (script.reset) {
        if (script.resetDelay.count() > 0) {
            co_await sleepUntil(steady::now() + script.resetDelay);
        }
        socket.set_option(asio::socket_base::linger(true, 0));
        // The destructor would close the socket without a reset.
        socket.close();
    }
}

std::string makeResponseTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** One client connection that sends requests "1", "2", ... to a scripted server. */
struct connection_fixture
{
    explicit connection_fixture(server_script serverScript)
        : server(std::move(serverScript))
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , connection(context.get_executor())
    {
        startTask(context, "server", [this] { return runServer(acceptor, server); });
    }

    exchange_result exchange(byte_budget *budget = nullptr, const std::string &body = "")
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
            if (!body.empty()) {
                request.method(boost::beast::http::verb::post);
                request.body() = body;
                request.prepare_payload();
            }
            response_rules rules;
            rules.match = [id](const http_response &response) {
                if (response["id"].empty()) {
                    return response_match::unidentified;
                }
                return response["id"] == id ? response_match::this_request : response_match::other_request;
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
    server_script server;
    tcp::acceptor acceptor;
    http_connection connection;
    int requests = 0;
};

}

TestSuite(duplicate_responses);

Test(duplicate_responses, late_duplicate_is_not_read_as_next_response)
{
    connection_fixture fixture(
        {{makeResponseTo("1", "first"), makeResponseTo("1", "first") + makeResponseTo("2", "second")}, "", false});
    cr_assert_eq(fixture.exchange().response.body(), "first");
    cr_assert(fixture.connection.isReusable());
    cr_assert_eq(fixture.exchange().response.body(), "second");
}

Test(duplicate_responses, duplicate_already_received_closes_the_connection)
{
    connection_fixture fixture({{makeResponseTo("1", "first") + makeResponseTo("1", "first")}, "", false});
    cr_assert_eq(fixture.exchange().response.body(), "first");
    cr_assert_not(fixture.connection.isReusable());
}

// Guards against a late second response without an id that counts as the response to the request in flight.
Test(duplicate_responses, unidentified_response_ends_the_exchange_and_the_connection)
{
    connection_fixture fixture(
        {{"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}" + makeResponseTo("1", "real")}, "", false});
    cr_assert_eq(fixture.exchange().code, result_code::answer_malformed);
    cr_assert_not(fixture.connection.isIdle());
}

TestSuite(truncated_responses);

Test(truncated_responses, are_rejected_for_every_kind_of_framing)
{
    const std::vector<std::string> truncated{
        "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nid",
    };
    for (const std::string &responseText : truncated) {
        cr_assert_eq(connection_fixture({{responseText}, "", false}).exchange().code,
                     result_code::answer_cut,
                     "%s",
                     responseText.c_str());
    }
}

// Guards against a response that ends in its header and counts as one with an empty or short body.
Test(truncated_responses, are_rejected_at_each_byte_of_the_header)
{
    for (const std::string fields : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string header = "HTTP/1.1 200 OK\r\nid: 2\r\n" + fields + "\r\n";
        for (std::size_t size = 0; size < header.size(); ++size) {
            connection_fixture fixture({{makeResponseTo("1", "whole"), header.substr(0, size)}, "", false});
            cr_assert_eq(fixture.exchange().code, result_code::ok);
            cr_assert_eq(fixture.exchange().code, result_code::answer_cut, "after %zu bytes", size);
            cr_assert_not(fixture.connection.isIdle());
        }
    }
}

Test(truncated_responses, reset_does_not_end_a_close_delimited_response)
{
    const std::string header = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
    cr_assert_eq(connection_fixture({{header + "whole"}, "", false}).exchange().response.body(), "whole");
    cr_assert_neq(connection_fixture({{header + "half"}, "", true}).exchange().code, result_code::ok);
}

// Guards against a body whose coding the caller is not told of, or that ends at another place than the server means.
Test(truncated_responses, unknown_transfer_coding_is_rejected)
{
    for (const std::string coding :
         {"gzip", "gzip, chunked", "chunked, chunked", "identity", "chunked, identity", ""}) {
        const std::string header = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
        connection_fixture fixture({{header + "4\r\nbody\r\n0\r\n\r\n"}, "", false});
        cr_assert_eq(fixture.exchange().code, result_code::answer_malformed, "%s", coding.c_str());
        cr_assert_not(fixture.connection.isIdle());
    }
}

TestSuite(responses_during_the_request);

namespace {

/** A body that neither fits into the socket buffers nor is read by the server. */
const std::string longBody(32U * 1024U * 1024U, 'x');

}

// Guards against a reset that the failed write of the request consumes, so that the read sees a regular end.
Test(responses_during_the_request, reset_does_not_end_a_close_delimited_response)
{
    const std::string header = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
    for (const milliseconds delay : {milliseconds(0), milliseconds(20)}) {
        for (const std::string body : {"half", ""}) {
            server_script script{{header + body}, "", true};
            script.resetDelay = delay;
            connection_fixture fixture(std::move(script));
            const result_code code = fixture.exchange(nullptr, longBody).code;
            cr_assert(code == result_code::answer_cut || code == result_code::connection_lost,
                      "%s after \"%s\"",
                      std::string(infoOf(code).name).c_str(),
                      body.c_str());
            cr_assert_not(fixture.connection.isIdle());
        }
    }
}

Test(responses_during_the_request, regular_end_of_a_close_delimited_response_is_accepted)
{
    server_script script{{"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole"}, "", false};
    script.discardsInput = true;
    connection_fixture fixture(std::move(script));
    cr_assert_eq(fixture.exchange(nullptr, longBody).response.body(), "whole");
    cr_assert_not(fixture.connection.isIdle());
}

Test(responses_during_the_request, response_with_a_length_is_complete_despite_a_reset)
{
    server_script script{{makeResponseTo("1", "whole")}, "", true};
    script.resetDelay = milliseconds(20);
    connection_fixture fixture(std::move(script));
    cr_assert_eq(fixture.exchange(nullptr, longBody).response.body(), "whole");
    cr_assert_not(fixture.connection.isIdle());
}

TestSuite(malformed_responses);

Test(malformed_responses, status_outside_the_valid_range_is_rejected)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        for (const std::string fields : {"Content-Length: 4\r\n\r\nbody",
                                         "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                         "\r\nbody"}) {
            connection_fixture fixture({{"HTTP/1.1 " + status + " X\r\nid: 1\r\n" + fields}, "", false});
            cr_assert_eq(fixture.exchange().code, result_code::answer_malformed, "%s", status.c_str());
            cr_assert_not(fixture.connection.isIdle());
        }
    }
}

Test(malformed_responses, all_final_statuses_are_accepted)
{
    for (int status = 200; status < 600; ++status) {
        const std::string text = std::to_string(status);
        connection_fixture fixture({{"HTTP/1.1 " + text + " X\r\nid: 1\r\nContent-Length: 0\r\n\r\n"}, "", false});
        const exchange_result result = fixture.exchange();
        cr_assert_eq(result.code, result_code::ok, "%d", status);
        cr_assert_eq(result.response.result_int(), status);
    }
}

// Guards against a line that is passed on, or against framing fields that are not recognized, so that the body ends at
// another place than the server means.
Test(malformed_responses, blanks_and_control_bytes_in_field_names_are_rejected)
{
    std::string invalidBytes = " \x7f";
    for (char byte = '\0'; byte < ' '; ++byte) {
        invalidBytes += byte;
    }
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string idLine = "id: 1\r\n";
    const std::string firstLines = idLine + "x-first: 1\r\n";
    for (const char byte : invalidBytes) {
        for (const std::string field : {"Content-Length: 4", "x-field: value"}) {
            for (std::size_t position = 0; position <= field.find(':'); ++position) {
                std::string line = field + "\r\n";
                line.insert(position, 1, byte);
                for (const std::string &header :
                     {line + idLine, firstLines + line, firstLines + line + "x-last: 1\r\n"}) {
                    connection_fixture fixture({{statusLine + header + "\r\nbody"}, "", false});
                    cr_assert_eq(fixture.exchange().code,
                                 result_code::answer_malformed,
                                 "byte %d at %zu of %s",
                                 byte,
                                 position,
                                 field.c_str());
                    cr_assert_not(fixture.connection.isIdle());
                }
            }
        }
    }
}

// Guards against a name with a leading blank that counts as the continuation of the previous line.
Test(malformed_responses, folded_lines_are_rejected)
{
    const std::string beginning = "HTTP/1.1 200 OK\r\nid: 1\r\n";
    for (const std::string fields : {"x-first:\r\n second\r\n",
                                     "x-first: 1\r\n \r\n",
                                     "x-first:\r\n\t\r\n",
                                     "x-first: 1\r\n\tContent-Length: 4\r\n",
                                     "x-first: 1\r\n  \t second\r\n third\r\n"}) {
        connection_fixture fixture({{beginning + fields + "\r\nbody"}, "", false});
        cr_assert_eq(fixture.exchange().code, result_code::answer_malformed, "%s", fields.c_str());
        connection_fixture withTrailer(
            {{beginning + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + fields + "\r\n"}, "", false});
        cr_assert_eq(withTrailer.exchange().code, result_code::answer_malformed, "trailer %s", fields.c_str());
    }
}

Test(malformed_responses, blanks_around_values_and_empty_values_are_accepted)
{
    connection_fixture fixture(
        {{"HTTP/1.1 200 OK\r\nid:1\r\nx-empty:\r\nx-blank: \t \r\nx-value:  a b\t \r\nContent-Length:\t4\r\n\r\nbody"},
         "",
         false});
    const exchange_result result = fixture.exchange();
    cr_assert_eq(result.response.body(), "body");
    cr_assert_eq(result.response["x-empty"], "");
    cr_assert_eq(result.response["x-blank"], "");
    cr_assert_eq(result.response["x-value"], "a b");
}

TestSuite(unbounded_responses);

Test(unbounded_responses, exchange_fails_after_too_many_interim_responses)
{
    connection_fixture fixture({{"HTTP/1.1 103 Early Hints\r\n\r\n"}, "HTTP/1.1 103 Early Hints\r\n\r\n", false});
    const time_point startedAt = steady::now();
    cr_assert_eq(fixture.exchange().code, result_code::answer_malformed);
    cr_assert_lt(steady::now() - startedAt, exchangeTimeout / 2);
    cr_assert_not(fixture.connection.isIdle());
}

Test(unbounded_responses, exchange_fails_after_too_many_responses_to_other_requests)
{
    connection_fixture fixture({{makeResponseTo("9", "other")}, makeResponseTo("9", std::string(10'000, 'x')), false});
    cr_assert_eq(fixture.exchange().code, result_code::answer_malformed);
    cr_assert_lt(fixture.server.sentBytes, 30'000'000);
}

Test(unbounded_responses, header_is_rejected_at_its_limit)
{
    connection_fixture fixture({{"HTTP/1.1 200 OK\r\n"}, "a: " + std::string(1000, 'x') + "\r\n", false});
    cr_assert_eq(fixture.exchange().code, result_code::answer_too_large);
}

// Guards against memory that grows until the deadline: Beast buffers a chunk header or trailer until its line ends.
Test(unbounded_responses, endless_lines_of_a_chunked_body_are_rejected_at_the_buffer_limit)
{
    constexpr std::size_t maxSentBytes = 16U * 1024U * 1024U;
    const std::string header = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string zeros(65536, '\0');
    const std::vector<std::pair<std::string, std::string>> bodies{
        {"", zeros},
        {"4\r\nhalf\r\n", std::string(65536, '0')},
        {"4;extension=", std::string(65536, 'x')},
        {"4\r\nhalf\r\n0\r\n", "trailer: " + std::string(1000, 'x') + "\r\n"},
        {"0\r\ntrailer: ", zeros},
    };
    for (const auto &[beginning, endless] : bodies) {
        connection_fixture fixture({{header + beginning}, endless, false});
        const time_point startedAt = steady::now();
        cr_assert_eq(fixture.exchange().code, result_code::answer_too_large, "%s", beginning.c_str());
        cr_assert_lt(steady::now() - startedAt, exchangeTimeout / 2);
        cr_assert_lt(fixture.server.sentBytes, maxSentBytes);
        cr_assert_not(fixture.connection.isIdle());
    }
}

Test(unbounded_responses, invalid_bytes_are_rejected_immediately)
{
    connection_fixture fixture({{std::string(100, '\x7f')}, std::string(1000, '\x7f'), false});
    cr_assert_eq(fixture.exchange().code, result_code::answer_malformed);
}

Test(unbounded_responses, chunked_and_close_delimited_bodies_stay_within_the_budget)
{
    constexpr std::size_t bytes = 4U * 1024U * 1024U;
    for (const auto &[header, part] :
         {std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                              "3e8\r\n" + std::string(1000, 'x') + "\r\n"),
          std::pair<std::string, std::string>("HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", std::string(1000, 'x'))}) {
        byte_budget budget(bytes);
        connection_fixture fixture({{header}, part, false});
        cr_assert_eq(fixture.exchange(&budget).code, result_code::answer_too_large);
        cr_assert_eq(budget.used(), 0);
        cr_assert_lt(fixture.server.sentBytes, 4 * bytes);
    }
}

Test(unbounded_responses, content_length_beyond_the_budget_is_rejected_before_the_body_is_read)
{
    byte_budget budget(1'000'000);
    connection_fixture fixture(
        {{"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 900000\r\n\r\n"}, std::string(1000, 'x'), false});
    cr_assert_eq(fixture.exchange(&budget).code, result_code::answer_too_large);
}
