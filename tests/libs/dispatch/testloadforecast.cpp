#include <dispatch/loadforecast.h>

#include <criterion/criterion.h>

#include <cmath>
#include <numbers>
#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr double Mean = 0.42;
constexpr double Amplitude = 0.21;

double loadAt(Duration period, double phase, TimePoint at)
{
    const double turns = std::chrono::duration<double>(at.time_since_epoch()) / std::chrono::duration<double>(period);
    return Mean + Amplitude * std::sin(2 * std::numbers::pi * turns + phase);
}

/// Trains the forecast for @p time with noisy reports of three jobs.
void train(LoadForecast &forecast, Duration period, Duration time)
{
    std::mt19937 random(5);
    std::normal_distribution<double> noise(0, 0.05);
    for (Duration passed = 0ms; passed < time; passed += 200ms) {
        for (int job = 0; job < 3; ++job) {
            forecast.observe("job" + std::to_string(job), Begin + passed, loadAt(period, job, Begin + passed) + noise(random), 0);
        }
    }
}

} // namespace

Test(loadForecast, findsThePeriodAndEachPhase)
{
    for (const Duration period : {Duration(10s), Duration(14s), Duration(15s)}) {
        LoadForecast forecast;
        train(forecast, period, 40s);
        cr_assert_float_eq(std::chrono::duration<double>(forecast.period()).count(), std::chrono::duration<double>(period).count(), 0.7);
        for (int job = 0; job < 3; ++job) {
            const TimePoint later = Begin + 42s;
            cr_assert_float_eq(forecast.expected("job" + std::to_string(job), later).utilization, loadAt(period, job, later), 0.06);
        }
        cr_assert_float_eq(forecast.meanUtilization(), Mean, 0.05);
    }
}

Test(loadForecast, findsTheMaximumInPeakAndTrough)
{
    LoadForecast forecast;
    train(forecast, 10s, 30s);
    // The first job has its peak at 2.5 s and its trough at 7.5 s of each period.
    const TimePoint periodStart = Begin + 30s;
    cr_assert_float_eq(forecast.maximum("job0", periodStart + 1500ms, periodStart + 4s), Mean + Amplitude, 0.05);
    cr_assert_float_eq(forecast.maximum("job0", periodStart + 6500ms, periodStart + 8500ms), loadAt(10s, 0, periodStart + 8500ms), 0.06);
    cr_assert_lt(forecast.maximum("job0", periodStart + 6500ms, periodStart + 8500ms), Mean);
}

Test(loadForecast, usesTheMeanPeakForAnUnknownJob)
{
    LoadForecast forecast;
    const double unlearned = forecast.maximum("job0", Begin, Begin + 2s);
    cr_assert_gt(unlearned, 0.6);
    train(forecast, 10s, 30s);
    cr_assert_float_eq(forecast.maximum("unknown", Begin + 30s, Begin + 31s), Mean + Amplitude, 0.1);
    forecast.forget("job0");
    cr_assert_float_eq(forecast.maximum("job0", Begin + 37s, Begin + 38s), forecast.maximum("unknown", Begin + 37s, Begin + 38s), 1e-9);
}

// Guards against fits whose cost grows with the number of tasks of a job: an installation has thousands of serving tasks.
Test(loadForecast, updatesTheFitsOfAJobOnceForTheReportsOfItsTasks)
{
    constexpr int Tasks = 50;
    LoadForecast forecast;
    for (Duration passed = 0ms; passed < 10s; passed += 500ms) {
        for (int task = 0; task < Tasks; ++task) {
            forecast.observe("job", Begin + passed + 10ms * task, loadAt(10s, 0, Begin + passed + 10ms * task), 0);
        }
    }
    cr_assert_leq(forecast.fitUpdates(), 100); // of 1,000 observations in 10 s
}

// Guards against a forecast that becomes worse because observations are combined.
Test(loadForecast, findsThePeriodAndPhaseFromManyTasks)
{
    constexpr int Tasks = 24;
    std::mt19937 random(7);
    std::normal_distribution<double> noise(0, 0.05);
    LoadForecast forecast;
    for (Duration passed = 0ms; passed < 30s; passed += 500ms) {
        for (int task = 0; task < Tasks; ++task) {
            const TimePoint at = Begin + passed + 20ms * task;
            forecast.observe("job", at, loadAt(10s, 0, at) + noise(random), 0);
        }
    }
    cr_assert_float_eq(std::chrono::duration<double>(forecast.period()).count(), 10, 0.5);
    for (const Duration later : {Duration(31s), Duration(33s), Duration(35s)}) {
        cr_assert_float_eq(forecast.expected("job", Begin + later).utilization, loadAt(10s, 0, Begin + later), 0.04);
    }
}
