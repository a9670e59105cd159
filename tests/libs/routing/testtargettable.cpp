#include <routing/targettable.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using std::chrono::milliseconds;
using std::chrono::seconds;

static Wire::Target makeTarget(const std::string &worker, const std::string &incarnation = "1", bool leaving = false)
{
    Wire::Target target;
    target.customer = "mtkvari";
    target.serviceName = "dispatch";
    target.worker = worker;
    target.address = "10.0.0." + worker + ":80";
    target.incarnation = incarnation;
    target.leaving = leaving;
    return target;
}

static std::string addressOf(const std::string &worker)
{
    return makeTarget(worker).address;
}

/// Returns how often each worker is chosen in @p count calls.
static std::map<std::string, int> drawTargets(TargetTable &table, int count, TimePoint now, const std::set<std::string> &avoided = {})
{
    std::map<std::string, int> result;
    for (int i = 0; i < count; ++i) {
        const auto target = table.choose("mtkvari", "dispatch", avoided, now);
        if (target) {
            ++result[target->worker];
        }
    }
    return result;
}

static Clock pausedClock()
{
    Clock clock;
    clock.pause();
    return clock;
}

// Guards P8: a leaving target must not become eligible again because one source contradicts another.
Test(targettable, leavingIsStickyForTheIncarnation)
{
    Clock clock = pausedClock();
    for (int signal = 0; signal < 4; ++signal) {
        TargetTable table(1);
        table.applyPublication({makeTarget("1"), makeTarget("2")}, clock.now());
        if (signal == 0) {
            table.applyPublication({makeTarget("1", "1", true), makeTarget("2")}, clock.now());
        } else if (signal == 1) {
            table.applyInstances({{"1", "", true}});
        } else if (signal == 2) {
            table.recordProbe(addressOf("1"), ProbeResult::Leaving, clock.now());
        } else {
            table.recordResponse(addressOf("1"), true);
            table.recordProbe(addressOf("1"), ProbeResult::Failing, clock.now());
        }
        cr_assert_eq(drawTargets(table, 100, clock.now()).count("1"), 0, "signal %d", signal);
        table.applyInstances({{"1", "", false}});
        table.recordProbe(addressOf("1"), ProbeResult::Healthy, clock.now());
        table.applyPublication({makeTarget("2")}, clock.now());
        table.applyPublication({makeTarget("1"), makeTarget("2")}, clock.now());
        clock.advance(seconds(60));
        cr_assert_eq(drawTargets(table, 100, clock.now()).count("1"), 0, "signal %d", signal);
        table.applyPublication({makeTarget("1", "2"), makeTarget("2")}, clock.now());
        cr_assert_gt(drawTargets(table, 100, clock.now())["1"], 0, "signal %d", signal);
    }
}

// Guards against a target that is marked as leaving because of a single ambiguous signal.
Test(targettable, closeOrFailingProbeAloneIsNotLeaving)
{
    Clock clock = pausedClock();
    TargetTable table(1);
    table.applyPublication({makeTarget("1")}, clock.now());
    table.recordResponse(addressOf("1"), true);
    cr_assert(table.hasTarget("mtkvari", "dispatch"));
    table.recordResponse(addressOf("1"), false);
    table.recordProbe(addressOf("1"), ProbeResult::Failing, clock.now());
    cr_assert(table.hasTarget("mtkvari", "dispatch"));
}

// Guards against a gateway that drops its targets while the scheduler or the instance list is unavailable, or while a
// new owner starts.
Test(targettable, keepsTheLastKnownGood)
{
    Clock clock = pausedClock();
    TargetTable table(1);
    table.applyPublication({makeTarget("1")}, clock.now());
    table.applyInstances({});
    clock.advance(seconds(3600));
    table.advance(clock.now());
    cr_assert(table.hasTarget("mtkvari", "dispatch"));
    table.applyPublication({}, clock.now());
    clock.advance(seconds(4));
    table.advance(clock.now());
    cr_assert(table.hasTarget("mtkvari", "dispatch"));
    table.applyPublication({makeTarget("1")}, clock.now());
    table.applyPublication({}, clock.now());
    clock.advance(seconds(4));
    table.advance(clock.now());
    cr_assert(table.hasTarget("mtkvari", "dispatch"));
    clock.advance(seconds(1));
    table.advance(clock.now());
    cr_assert(!table.hasTarget("mtkvari", "dispatch"));
}

// Guards against load that is sent to targets that just failed while others work.
Test(targettable, avoidsFailedTargets)
{
    Clock clock = pausedClock();
    TargetTable table(1);
    table.applyPublication({makeTarget("1"), makeTarget("2"), makeTarget("3")}, clock.now());
    table.recordFailure(addressOf("1"), clock.now());
    table.recordProbe(addressOf("2"), ProbeResult::Failing, clock.now());
    auto drawn = drawTargets(table, 100, clock.now());
    cr_assert_eq(drawn["3"], 100);
    // If there are no other targets, a failed one is used.
    drawn = drawTargets(table, 100, clock.now(), {addressOf("3")});
    cr_assert_eq(drawn["3"] + drawn["1"] + drawn["2"], 100);
    clock.advance(seconds(2));
    drawn = drawTargets(table, 100, clock.now());
    cr_assert_gt(drawn["1"], 0);
    cr_assert_eq(drawn["2"], 0);
}

// Guards against requests that accumulate at a slow target.
Test(targettable, prefersTheLessLoaded)
{
    Clock clock = pausedClock();
    TargetTable table(1);
    table.applyPublication({makeTarget("1"), makeTarget("2")}, clock.now());
    for (int i = 0; i < 10; ++i) {
        table.requestStarted(addressOf("1"));
    }
    cr_assert_eq(drawTargets(table, 100, clock.now())["2"], 100);
    for (int i = 0; i < 10; ++i) {
        table.requestFinished(addressOf("1"));
    }
    cr_assert_gt(drawTargets(table, 100, clock.now())["1"], 20);
}

// Guards against requests that reach another customer's target with the same service name.
Test(targettable, keepsCustomersApart)
{
    Clock clock = pausedClock();
    TargetTable table(1);
    table.applyPublication({makeTarget("1")}, clock.now());
    cr_assert(!table.choose("cascadia", "dispatch", {}, clock.now()));
    cr_assert(!table.hasTarget("cascadia", "dispatch"));
}
