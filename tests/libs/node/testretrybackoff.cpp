#include <node/retrybackoff.h>

#include <criterion/criterion.h>

#include <set>

using namespace Hyssop;
using namespace std::chrono_literals;

static void expectBetween(std::chrono::milliseconds delay, std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    cr_assert_geq(delay.count(), shortest.count());
    cr_assert_leq(delay.count(), longest.count());
}

Test(retryBackoff, growsUpToABoundAfterTimeouts)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        RetryBackoff backoff(seed);
        expectBetween(backoff.next(ErrorCode::Timeout), 125ms, 250ms);
        expectBetween(backoff.next(ErrorCode::Timeout), 250ms, 500ms);
        for (int repeat = 0; repeat < 10; ++repeat) {
            expectBetween(backoff.next(ErrorCode::Timeout), 500ms, 1000ms);
        }
        backoff.reset();
        expectBetween(backoff.next(ErrorCode::Timeout), 125ms, 250ms);
    }
}

Test(retryBackoff, instancesThatTimedOutAtOnceDoNotRepeatAtOnce)
{
    std::set<std::chrono::milliseconds> delays;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        RetryBackoff backoff(seed * 1000);
        backoff.next(ErrorCode::Timeout);
        delays.insert(backoff.next(ErrorCode::Timeout));
    }
    cr_assert_geq(delays.size(), 50);
}

Test(retryBackoff, aStoreThatRejectsReadsIsTriedAtAConstantInterval)
{
    RetryBackoff backoff(1);
    for (int repeat = 0; repeat < 10; ++repeat) {
        cr_assert_eq(backoff.next(ErrorCode::Unavailable).count(), 250);
        cr_assert_eq(backoff.next(ErrorCode::Refused).count(), 250);
    }
}
