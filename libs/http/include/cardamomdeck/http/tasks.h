/**
 * @file
 * Starts coroutines so that an exception that leaves one ends nothing but that one.
 */
#pragma once

#include "cardamomdeck/http/asynctools.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace cardamomdeck {

/** Pause before a loop that an exception has ended starts anew. */
inline constexpr milliseconds loopRestartPause{100};

/** Logs the exception that has left the task @p name, if there is one. */
void logTaskFailure(const char *name, const std::exception_ptr &error);

/** Runs @p task, a function that returns a coroutine, on a context or executor. An exception that leaves it is logged.
 */
template<typename target, typename function>
void startTask(target &&context, const char *name, function task)
{
    boost::asio::co_spawn(
        context, std::move(task), [name](const std::exception_ptr &error) { logTaskFailure(name, error); });
}

/** Runs @p loop, and again after a pause whenever an exception has left it, until it returns. */
template<typename target, typename function>
void startLoop(target &&context, const char *name, function loop)
{
    startTask(context, name, [name, loop = std::move(loop)]() -> boost::asio::awaitable<void> {
        for (;;) {
            std::exception_ptr error;
            try {
                co_await loop();
                co_return;
            } catch (...) {
                error = std::current_exception();
            }
            logTaskFailure(name, error);
            co_await sleepUntil(steady::now() + loopRestartPause);
        }
    });
}

/** Runs the handlers of @p context until it is stopped; an exception that leaves one is logged. */
template<typename io_context>
void runContext(io_context &context, const char *name)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (...) {
            logTaskFailure(name, std::current_exception());
        }
    }
}

}
