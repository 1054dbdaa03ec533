/**
 * @file
 * Shared asynchronous helper functions.
 */
#pragma once

#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cardamomdeck {

/** Suspends the calling coroutine until @p deadline. */
boost::asio::awaitable<void> sleepUntil(time_point deadline);

/** Binds @p acceptor to @p address and starts to listen. Errors: port_in_use. */
result_code openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const socket_address &address);

}
