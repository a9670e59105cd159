#pragma once

#include <utils/clock.h>

#include <map>
#include <string>
#include <vector>

namespace Hyssop {

struct ServingRoom;

/// Decides when the owner publishes the room for serving tasks again.
///
/// Load pattern: every instance reads each published record, while the room changes with each serving job that begins or ends. What
/// begins is known to the instances from the submissions, so a small change can wait.
class ServingRoomSchedule
{
public:
    /// Returns true if the room is to be computed and passed to shouldPublish().
    bool isCheckDue(TimePoint now) const;

    /// Returns true if @p rooms are to be published, and expects that they are.
    bool shouldPublish(const std::vector<ServingRoom> &rooms, TimePoint now);

private:
    bool hasChanged(const std::vector<ServingRoom> &rooms) const;

    TimePoint m_checkedAt{};
    TimePoint m_publishedAt{};
    std::map<std::string, std::int64_t> m_published; // thousandths of a core by worker pool
};

} // namespace Hyssop
