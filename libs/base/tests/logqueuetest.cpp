#include "cardamomdeck/base/logqueue.h"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <vector>

using namespace cardamomdeck;

TestSuite(log_writer_thread);

Test(log_writer_thread, in_order_and_all_before_the_end)
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

TestSuite(a_queue_is_ended_while_its_thread_is_about_to_wait);

Test(a_queue_is_ended_while_its_thread_is_about_to_wait, the_thread_ends_each_time, .timeout = 60)
{
    constexpr int rounds = 20'000;
    int written = 0;
    for (int i = 0; i < rounds; ++i) {
        log_queue queue([&](log_severity, const std::string &) { ++written; });
        cr_assert(queue.push(log_severity::info, "last line"));
        // The thread has this line behind it, or not yet, or has just begun to look for more.
        for (int spin = 0; spin < i % 200; ++spin) {
            std::atomic_signal_fence(std::memory_order_seq_cst);
        }
    }
    cr_assert_eq(written, rounds);
}

TestSuite(the_volume_is_bounded);

Test(the_volume_is_bounded, over_a_long_time_by_the_rate)
{
    log_rate_limiter rate;
    const time_point start{seconds(1000)};
    double written = 0;
    constexpr int tenSecondsOfLines = 100'000;
    for (int i = 0; i < tenSecondsOfLines; ++i) {
        written += rate.tryAcquire(start + microseconds(100 * i)) ? 1 : 0;
    }
    cr_assert_leq(written, log_rate_limiter::maxBurstLines + 10 * log_rate_limiter::maxLinesPerSecond + 1);
    cr_assert_geq(written, 10 * log_rate_limiter::maxLinesPerSecond);
}
