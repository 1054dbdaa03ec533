#include "cardamomdeck/base/suspension.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

TestSuite(a_machine_is_suspended);

Test(a_machine_is_suspended, each_suspension_is_told_once)
{
    nanoseconds total = seconds(5);
    suspension_detector meter([&] { return total; });
    cr_assert_eq(meter.poll().count(), 0);
    total += seconds(3);
    cr_assert_eq(meter.poll(), seconds(3));
    cr_assert_eq(meter.poll().count(), 0);
}

Test(a_machine_is_suspended, the_distance_between_two_readings_is_none)
{
    nanoseconds total = seconds(5);
    suspension_detector meter([&] { return total; });
    total += milliseconds(2);
    cr_assert_eq(meter.poll().count(), 0);
    cr_assert_lt(suspension_detector().poll(), seconds(1));
}

TestSuite(a_process_is_stopped);

Test(a_process_is_stopped, a_long_gap_between_two_looks_is_told_once)
{
    const time_point start{seconds(1000)};
    pause_detector meter(start, suspension_detector([] { return nanoseconds(0); }));
    cr_assert_eq(meter.poll(start + milliseconds(400)).count(), 0);
    cr_assert_eq(meter.poll(start + milliseconds(3400)), seconds(3));
    cr_assert_eq(meter.poll(start + milliseconds(3401)).count(), 0);
}

Test(a_process_is_stopped, a_suspended_machine_counts_as_well)
{
    const time_point start{seconds(1000)};
    nanoseconds total{0};
    pause_detector meter(start, suspension_detector([&] { return total; }));
    total = seconds(5);
    cr_assert_eq(meter.poll(start + milliseconds(10)), seconds(5));
}

Test(a_process_is_stopped, starved_process_reports_few_pauses)
{
    const time_point start{seconds(1000)};
    pause_detector meter(start, suspension_detector([] { return nanoseconds(0); }));
    int told = 0;
    for (milliseconds at{0}; at < seconds(30); at += milliseconds(1500)) {
        told += meter.poll(start + at).count() > 0 ? 1 : 0;
    }
    cr_assert_eq(told, 0);
    for (milliseconds at{30'000}; at < seconds(60); at += milliseconds(2500)) {
        told += meter.poll(start + at).count() > 0 ? 1 : 0;
    }
    cr_assert_leq(told, 6);
}
