#include <routing/admissionramp.h>
#include <routing/concurrencylimit.h>
#include <routing/ratelimit.h>
#include <routing/requestoutcome.h>
#include <routing/retrybudget.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using std::chrono::milliseconds;
using std::chrono::seconds;

static Clock pausedClock()
{
    Clock clock;
    clock.pause();
    return clock;
}

static int acquireAll(ConcurrencyLimit &limit, double share = 1)
{
    int count = 0;
    while (count < 10000 && limit.tryAcquire(share)) {
        ++count;
    }
    return count;
}

// Guards against more requests in flight than the contract allows, and against a limit that overload does not reduce.
Test(concurrencylimit, adaptsWithinTheContract)
{
    Clock clock = pausedClock();
    ConcurrencyLimit limit(100, milliseconds(50));
    cr_assert_eq(acquireAll(limit), 100);
    for (int i = 0; i < 10; ++i) {
        limit.releaseAfterOverload(clock.now());
    }
    // The failures of one overload cause a single decrease.
    cr_assert_eq(limit.limit(), 90);
    for (int i = 0; i < 50; ++i) {
        clock.advance(milliseconds(200));
        limit.releaseAfterResponse(milliseconds(150), clock.now());
    }
    cr_assert_eq(limit.limit(), 10);
    while (limit.inFlight() > 0) {
        limit.release();
    }
    for (int round = 0; round < 1000; ++round) {
        const int count = acquireAll(limit);
        for (int i = 0; i < count; ++i) {
            limit.releaseAfterResponse(milliseconds(10), clock.now());
        }
    }
    cr_assert_eq(limit.limit(), 100);
    cr_assert_eq(acquireAll(limit), 100);
}

// Guards against a changed contract that loses count of the requests in flight.
Test(concurrencylimit, takesOverAChangedContract)
{
    ConcurrencyLimit limit(10, milliseconds(0));
    cr_assert_eq(acquireAll(limit), 10);
    limit.setBounds(20, milliseconds(0));
    cr_assert_eq(acquireAll(limit), 10);
    limit.setBounds(5, milliseconds(0));
    cr_assert(!limit.tryAcquire());
    cr_assert_eq(limit.inFlight(), 20);
}

// Guards against a rate above the contract, also after a long idle time.
Test(ratelimit, holdsTheContractsRate)
{
    Clock clock = pausedClock();
    RateLimit limit(100, clock.now());
    clock.advance(seconds(3600));
    int taken = 0;
    for (int step = 0; step < 1000; ++step) {
        while (limit.tryTake(clock.now())) {
            ++taken;
        }
        clock.advance(milliseconds(10));
    }
    cr_assert_leq(taken, 1000 + 25);
    cr_assert_geq(taken, 1000);
}

// Guards against retries that exceed their share of the successes.
Test(retrybudget, isAShareOfSuccesses)
{
    RetryBudget budget(0.1);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordSuccess();
        while (retries < 10000 && budget.tryTake()) {
            ++retries;
        }
    }
    cr_assert_leq(retries, 103);
    cr_assert_geq(retries, 100);
    RetryBudget none(0);
    none.recordSuccess();
    cr_assert(!none.tryTake());
}

// Guards against synchronized retries: the delay is uniformly distributed, and its range grows up to a bound.
Test(retrybudget, drawsFullJitter)
{
    std::mt19937_64 random(20261204);
    for (const auto &[retry, bound] : {std::pair(1, 5000), std::pair(3, 20000), std::pair(30, 250000)}) {
        std::int64_t smallest = bound;
        std::int64_t largest = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto delay = fullJitterDelay(retry, random).count();
            smallest = std::min(smallest, delay);
            largest = std::max(largest, delay);
        }
        cr_assert_leq(largest, bound);
        cr_assert_gt(largest, bound * 9 / 10);
        cr_assert_lt(smallest, bound / 10);
    }
}

// Guards against full load on targets directly after an outage.
Test(admissionramp, admitsGradually)
{
    Clock clock = pausedClock();
    AdmissionRamp ramp(seconds(10));
    cr_assert_eq(ramp.admittedShare(clock.now()), 1);
    ramp.restart(clock.now());
    double previous = 0;
    for (int second = 0; second < 10; ++second) {
        const double share = ramp.admittedShare(clock.now());
        cr_assert_gt(share, previous);
        cr_assert_lt(share, 1);
        previous = share;
        clock.advance(seconds(1));
    }
    cr_assert_eq(ramp.admittedShare(clock.now()), 1);
    ConcurrencyLimit limit(100, milliseconds(0));
    cr_assert_eq(acquireAll(limit, 0.1), 10);
}

// Guards P6 and P7: a request is repeated only if it is idempotent or certainly not run.
Test(requestoutcome, allowsOnlySafeRetries)
{
    cr_assert(outcomeOf({0, false}) == RequestOutcome::NotRun);
    cr_assert(outcomeOf({1, false}) == RequestOutcome::Unknown);
    cr_assert(outcomeOf({1, true}) == RequestOutcome::Known);
    cr_assert(mayRetry(RequestOutcome::NotRun, false, true));
    cr_assert(!mayRetry(RequestOutcome::NotRun, false, false));
    cr_assert(!mayRetry(RequestOutcome::Unknown, false, true));
    cr_assert(mayRetry(RequestOutcome::Unknown, true, true));
    cr_assert(!mayRetry(RequestOutcome::Known, true, true));
    for (const char *method : {"GET", "HEAD", "OPTIONS"}) {
        cr_assert(isIdempotentMethod(method));
    }
    for (const char *method : {"POST", "PUT", "DELETE", "PATCH", "get"}) {
        cr_assert(!isIdempotentMethod(method));
    }
}
