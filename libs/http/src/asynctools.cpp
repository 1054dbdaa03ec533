#include "cardamomdeck/http/asynctools.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamomdeck {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<void> sleepUntil(time_point deadline)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_at(deadline);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

result_code openAcceptor(tcp::acceptor &acceptor, const socket_address &address)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error ? result_code::port_in_use : result_code::ok;
}

}
