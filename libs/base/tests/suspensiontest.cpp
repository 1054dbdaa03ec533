#include "cardamomdeck/base/suspension.h"

#include <criterion/criterion.h>

using namespace cardamomdeck;

TestSuite(machine_suspension);

Test(machine_suspension, is_reported_once)
{
    nanoseconds total = seconds(5);
    suspension_detector detector([&] { return total; });
    cr_assert_eq(detector.poll().count(), 0);
    total += seconds(3);
    cr_assert_eq(detector.poll(), seconds(3));
    cr_assert_eq(detector.poll().count(), 0);
}

Test(machine_suspension, time_between_clock_readings_is_not_reported)
{
    nanoseconds total = seconds(5);
    suspension_detector detector([&] { return total; });
    total += milliseconds(2);
    cr_assert_eq(detector.poll().count(), 0);
    cr_assert_lt(suspension_detector().poll(), seconds(1));
}

TestSuite(process_pause);

Test(process_pause, long_gap_between_polls_is_reported_once)
{
    const time_point startTime{seconds(1000)};
    pause_detector detector(startTime, suspension_detector([] { return nanoseconds(0); }));
    cr_assert_eq(detector.poll(startTime + milliseconds(400)).count(), 0);
    cr_assert_eq(detector.poll(startTime + milliseconds(3400)), seconds(3));
    cr_assert_eq(detector.poll(startTime + milliseconds(3401)).count(), 0);
}

Test(process_pause, includes_machine_suspension)
{
    const time_point startTime{seconds(1000)};
    nanoseconds total{0};
    pause_detector detector(startTime, suspension_detector([&] { return total; }));
    total = seconds(5);
    cr_assert_eq(detector.poll(startTime + milliseconds(10)), seconds(5));
}

Test(process_pause, starved_process_reports_few_pauses)
{
    const time_point startTime{seconds(1000)};
    pause_detector detector(startTime, suspension_detector([] { return nanoseconds(0); }));
    int reportedPauses = 0;
    for (milliseconds at{0}; at < seconds(30); at += milliseconds(1500)) {
        reportedPauses += detector.poll(startTime + at).count() > 0 ? 1 : 0;
    }
    cr_assert_eq(reportedPauses, 0);
    for (milliseconds at{30'000}; at < seconds(60); at += milliseconds(2500)) {
        reportedPauses += detector.poll(startTime + at).count() > 0 ? 1 : 0;
    }
    cr_assert_leq(reportedPauses, 6);
}
