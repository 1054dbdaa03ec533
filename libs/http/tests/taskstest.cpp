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

asio::awaitable<void> failTwice(int &starts)
{
    if (++starts < 3) {
        throw 7;
    }
    co_return;
}

}

TestSuite(an_exception_leaves_a_task);

Test(an_exception_leaves_a_task, the_others_go_on)
{
    asio::io_context context;
    bool finished = false;
    startTask(context, "failing", fail);
    startTask(context, "other", [&] { return finish(finished); });
    context.run();
    cr_assert(finished);
}

Test(an_exception_leaves_a_task, a_loop_starts_anew_until_it_returns)
{
    asio::io_context context;
    int starts = 0;
    startLoop(context, "loop", [&] { return failTwice(starts); });
    context.run();
    cr_assert_eq(starts, 3);
}

Test(an_exception_leaves_a_task, handlers_without_a_coroutine_end_nothing_either)
{
    asio::io_context context;
    bool finished = false;
    asio::post(context, [] { throw std::runtime_error("in a handler"); });
    asio::post(context, [&] { finished = true; });
    runContext(context, "handlers");
    cr_assert(finished);
}
