#include "servingroomschedule.h"

#include <dispatch/servingroom.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::milliseconds RoomCheckInterval{500};
constexpr std::chrono::milliseconds RoomPublicationInterval{2000};
// A change by more than this part of the capacity is published early.
constexpr std::int64_t NoticeableChangeDivisor = 100;

} // namespace Internal

bool ServingRoomSchedule::isCheckDue(TimePoint now) const
{
    return m_checkedAt == TimePoint() || now - m_checkedAt >= Internal::RoomCheckInterval;
}

bool ServingRoomSchedule::shouldPublish(const std::vector<ServingRoom> &rooms, TimePoint now)
{
    m_checkedAt = now;
    if (rooms.empty() || (now - m_publishedAt < Internal::RoomPublicationInterval && !hasChanged(rooms))) {
        return false;
    }
    m_publishedAt = now;
    m_published.clear();
    for (const ServingRoom &room : rooms) {
        m_published[room.workerPool] = room.milliCores;
    }
    return true;
}

bool ServingRoomSchedule::hasChanged(const std::vector<ServingRoom> &rooms) const
{
    return rooms.size() != m_published.size() || std::ranges::any_of(rooms, [&](const ServingRoom &room) {
               const auto published = m_published.find(room.workerPool);
               return published == m_published.end() || std::abs(room.milliCores - published->second) > room.capacity / Internal::NoticeableChangeDivisor;
           });
}

} // namespace Hyssop
