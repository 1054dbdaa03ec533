/**
 * @file
 * Starts coroutines so that an uncaught exception ends only the coroutine that threw it.
 */
#pragma once

#include "cardamomdeck/http/asynctools.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace cardamomdeck {

/** Delay before a loop is restarted after an uncaught exception. */
inline constexpr milliseconds loopRestartDelay{100};

/** Logs the uncaught exception of the task @p name; does nothing if @p error is null. */
void logTaskFailure(const char *name, const std::exception_ptr &error);

/** Runs @p task, a function that returns a coroutine, on a context or executor. Logs an uncaught exception. */
template<typename target, typename function>
void startTask(target &&context, const char *name, function task)
{
    boost::asio::co_spawn(
        context, std::move(task), [name](const std::exception_ptr &error) { logTaskFailure(name, error); });
}

/** Runs @p loop until it returns. Restarts it after loopRestartDelay whenever it ends by an uncaught exception. */
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
            co_await sleepUntil(steady::now() + loopRestartDelay);
        }
    });
}

/** Runs the handlers of @p context until it stops or runs out of work. Logs uncaught exceptions and continues. */
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
