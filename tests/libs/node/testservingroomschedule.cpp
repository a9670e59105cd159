#include <dispatch/servingroom.h>
#include <node/servingroomschedule.h>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::int64_t Capacity = 82'000'000;

std::vector<ServingRoom> rooms(std::int64_t milliCores)
{
    return {{"hall", Capacity, milliCores}};
}

} // namespace

/// Every instance reads each publication.
Test(servingRoomSchedule, anUnchangedRoomIsPublishedSeldom)
{
    ServingRoomSchedule schedule;
    int publications = 0;
    for (TimePoint now = Begin; now < Begin + 60s; now += 20ms) {
        if (schedule.isCheckDue(now) && schedule.shouldPublish(rooms(7'000'000), now)) {
            ++publications;
        }
    }
    cr_assert_eq(publications, 30);
}

Test(servingRoomSchedule, aRoomThatChangesAllTheTimeIsPublishedAtMostTwiceASecond)
{
    ServingRoomSchedule schedule;
    int publications = 0;
    std::int64_t milliCores = 0;
    for (TimePoint now = Begin; now < Begin + 60s; now += 20ms) {
        milliCores += Capacity / 10;
        if (schedule.isCheckDue(now) && schedule.shouldPublish(rooms(milliCores), now)) {
            ++publications;
        }
    }
    cr_assert_eq(publications, 120);
}

Test(servingRoomSchedule, aNoticeableChangeIsPublishedEarly)
{
    ServingRoomSchedule schedule;
    cr_assert(schedule.shouldPublish(rooms(7'000'000), Begin));
    cr_assert_not(schedule.shouldPublish(rooms(7'312'000), Begin + 500ms));
    cr_assert(schedule.shouldPublish(rooms(7'900'000), Begin + 1s));
    cr_assert(schedule.shouldPublish({{"hall", Capacity, 7'900'000}, {"yard", 1000, 900}}, Begin + 1500ms), "another pool");
}

Test(servingRoomSchedule, anUnknownRoomIsNotPublished)
{
    ServingRoomSchedule schedule;
    cr_assert_not(schedule.shouldPublish({}, Begin));
    cr_assert(schedule.shouldPublish(rooms(1), Begin + 500ms));
}
