#include "cardamomdeck/base/logqueue.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <vector>

using namespace cardamomdeck;

TestSuite(log_writer_thread);

Test(log_writer_thread, writes_all_lines_in_order_before_it_stops)
{
    std::vector<std::string> written;
    {
        log_queue queue([&](log_severity, const std::string &text) { written.push_back(text); });
        for (int i = 0; i < 100; ++i) {
            cr_assert(queue.push(log_severity::info, std::to_string(i)));
        }
    }
    cr_assert_eq(written.size(), 100);
    cr_assert_eq(written.back(), "99");
}

Test(log_writer_thread, blocked_output_does_not_block_producers_and_drops_are_reported)
{
    std::atomic<bool> blocked = true;
    std::vector<std::string> written;
    int dropped = 0;
    {
        log_queue queue([&](log_severity, const std::string &text) {
            blocked.wait(true);
            written.push_back(text);
        });
        for (int i = 0; i < 20'000; ++i) {
            dropped += queue.push(log_severity::info, "x") ? 0 : 1;
        }
        cr_assert_gt(dropped, 0);
        blocked = false;
        blocked.notify_all();
    }
    cr_assert_eq(written.back(), "event=log_lines_dropped count=" + std::to_string(dropped));
}

TestSuite(log_queue_shutdown);

Test(log_queue_shutdown, stop_is_not_missed_while_the_thread_begins_to_wait, .timeout = 60)
{
    constexpr int rounds = 20'000;
    int written = 0;
    for (int i = 0; i < rounds; ++i) {
        log_queue queue([&](log_severity, const std::string &) { ++written; });
        cr_assert(queue.push(log_severity::info, "last line"));
        // The spin varies the moment of the stop: before or after the thread writes the line, or as it begins to wait.
        for (int spin = 0; spin < i % 200; ++spin) {
            std::atomic_signal_fence(std::memory_order_seq_cst);
        }
    }
    cr_assert_eq(written, rounds);
}

TestSuite(log_rate_limit);

Test(log_rate_limit, is_limited_over_ten_seconds)
{
    log_rate_limiter limiter;
    const time_point startTime{seconds(1000)};
    double written = 0;
    constexpr int tenSecondsOfLines = 100'000;
    for (int i = 0; i < tenSecondsOfLines; ++i) {
        written += limiter.tryAcquire(startTime + microseconds(100 * i)) ? 1 : 0;
    }
    cr_assert_leq(written, log_rate_limiter::maxBurstLines + 10 * log_rate_limiter::maxLinesPerSecond + 1);
    cr_assert_geq(written, 10 * log_rate_limiter::maxLinesPerSecond);
}
