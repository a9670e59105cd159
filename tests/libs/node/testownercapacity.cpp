#include <node/ownercapacity.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

/// Returns whether the capacity is exceeded after ticks at this interval for @p time.
bool isExceeded(OwnerCapacity &capacity, TimePoint begin, std::chrono::milliseconds interval, std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds passed = interval; passed <= time; passed += interval) {
        capacity.handleTick(begin + passed);
    }
    return capacity.isExceeded();
}

} // namespace

Test(ownerCapacity, ticksThatAreAboutInTimeAreCarried)
{
    OwnerCapacity capacity;
    capacity.beginTerm(Begin, false);
    cr_assert_not(isExceeded(capacity, Begin, 20ms, 3s));
    cr_assert_not(isExceeded(capacity, Begin + 3s, 50ms, 3s));
}

Test(ownerCapacity, ticksThatAreLateForASecondAreNot)
{
    OwnerCapacity capacity;
    capacity.beginTerm(Begin, false);
    cr_assert(isExceeded(capacity, Begin, 250ms, 1s));
    cr_assert_not(isExceeded(capacity, Begin + 1s, 20ms, 2s));
}

Test(ownerCapacity, aNewTermBeginsAnew)
{
    OwnerCapacity capacity;
    capacity.beginTerm(Begin, false);
    cr_assert(isExceeded(capacity, Begin, 500ms, 2s));
    capacity.beginTerm(Begin + 10s, false);
    cr_assert_not(capacity.isExceeded());
    cr_assert_not(isExceeded(capacity, Begin + 10s, 20ms, 1500ms));
}

// Guards against an instance that owns a fleet of which it has not shown that it carries it.
Test(ownerCapacity, aPresumptionHoldsUntilTicksInTimeDisproveIt)
{
    OwnerCapacity capacity;
    capacity.beginTerm(Begin, true);
    cr_assert(isExceeded(capacity, Begin, 20ms, 900ms));
    cr_assert_not(isExceeded(capacity, Begin + 900ms, 20ms, 200ms));
}
