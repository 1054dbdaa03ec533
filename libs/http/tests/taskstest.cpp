#include "cardamomdeck/http/tasks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <criterion/criterion.h>

#include <stdexcept>

using namespace cardamomdeck;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> fail()
{
    throw std::runtime_error("no memory");
    co_return;
}

asio::awaitable<void> finish(bool &finished)
{
    co_await sleepUntil(steady::now() + milliseconds(5));
    finished = true;
}

asio::awaitable<void> failTwice(int &startCount)
{
    if (++startCount < 3) {
        throw 7;
    }
    co_return;
}

}

TestSuite(uncaught_exceptions);

Test(uncaught_exceptions, do_not_stop_other_tasks)
{
    asio::io_context context;
    bool finished = false;
    startTask(context, "failing", fail);
    startTask(context, "other", [&] { return finish(finished); });
    context.run();
    cr_assert(finished);
}

Test(uncaught_exceptions, restart_a_loop_until_it_returns)
{
    asio::io_context context;
    int startCount = 0;
    startLoop(context, "loop", [&] { return failTwice(startCount); });
    context.run();
    cr_assert_eq(startCount, 3);
}

Test(uncaught_exceptions, of_plain_handlers_do_not_stop_the_context)
{
    asio::io_context context;
    bool finished = false;
    asio::post(context, [] { throw std::runtime_error("in a handler"); });
    asio::post(context, [&] { finished = true; });
    runContext(context, "handlers");
    cr_assert(finished);
}
