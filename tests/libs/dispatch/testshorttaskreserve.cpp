#include <dispatch/shorttaskreserve.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::int64_t Capacity = 1'000'000; // thousandths of a core

} // namespace

Test(shortTaskReserve, followsABurstOfShortJobsAndDecays)
{
    ShortTaskReserve reserve;
    const std::int64_t quiet = reserve.milliCores("hall", Capacity);
    cr_assert_gt(quiet, 0, "a minimum is kept free for the first burst");
    for (Duration passed = 0s; passed < 5s; passed += 20ms) {
        reserve.recordDemand("hall", {150'000, 1000, 1000}, Begin + passed);
    }
    const std::int64_t duringBurst = reserve.milliCores("hall", Capacity);
    cr_assert_gt(duringBurst, 150'000, "free capacity is fragmented");
    cr_assert_eq(reserve.milliCores("other", Capacity), quiet);
    reserve.recordDemand("hall", {}, Begin + 7s);
    cr_assert_gt(reserve.milliCores("hall", Capacity), 150'000, "another burst may follow");
    reserve.recordDemand("hall", {}, Begin + 60s);
    cr_assert_eq(reserve.milliCores("hall", Capacity), quiet, "serving tasks get what short ones don't need");
}

Test(shortTaskReserve, leavesMostOfTheCapacityToServingTasks)
{
    ShortTaskReserve reserve;
    reserve.recordDemand("hall", {10 * Capacity, 1000, 1000}, Begin);
    cr_assert_leq(reserve.milliCores("hall", Capacity), Capacity / 4);
}
