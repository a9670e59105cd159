#pragma once

#include "placementobstacle.h"

#include <ports/taskid.h>
#include <utils/clock.h>

#include <bitset>
#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Hyssop {

/// Decides which waiting steps are reported: those that wait longer than a bound although room for them is free, be their tasks reserved,
/// best-effort or serving ones. It performs no I/O and does not know why they wait.
///
/// It works in rounds, which are a fixed time apart. In each, the caller observes the steps whose turn has come and of which no task runs.
/// Those of which a task runs for LookInterval are forgotten. Then it examines a few of the overdue steps, which is expensive, and asks
/// whether to report them.
class WaitingWatchdog
{
public:
    /// The platform permits that a job has no running task for 3 s while there is capacity for it twice over and less than half of the
    /// capacity is in use.
    static constexpr std::chrono::milliseconds MaximumWait{3000};

    /// The platform looks at the beginning, the middle and the end of that time, so a run between two looks does not end the wait.
    static constexpr std::chrono::milliseconds LookInterval = MaximumWait / 2;

    /// With more in use the platform sets no bound, because work may yield to other work then. Operators should learn of a step that waits
    /// beside free room for many times as long as its callers expect.
    static constexpr std::chrono::milliseconds MaximumWaitInBusyPool{30'000};

    /// Room for a step, twice over.
    enum class Room {
        None,
        InBusyPool, // half or more of whose capacity is in use
        Ample,
    };

    /// Returns true if it is time for another round.
    bool isRoundDue(TimePoint now) const { return now >= m_nextRound; }

    void beginRound(TimePoint now);

    /// Notes, once in a round, that no task of @p step runs although its turn has come, and which @p room for it is free.
    void observe(const TaskId &step, Room room);

    /// Returns the steps that were observed in one of the last rounds, are not forgotten, and were not observed in this round yet.
    std::vector<TaskId> missingSteps() const;

    /// Forgets the steps that were not observed for LookInterval.
    void endRound();

    /// Returns which overdue steps to examine in this round: first those that have not been reported, by the time that they wait.
    std::vector<TaskId> stepsToExamine() const;

    /// Takes why most workers can't take a task of @p step, or nothing if some can. Returns true if the step is to be reported: it was not
    /// yet, or its obstacle has changed, or its last report is some time ago.
    bool shouldReport(const TaskId &step, std::optional<PlacementObstacle> mainObstacle);

    /// Returns how long the step, which was observed in this round, has waited except for short runs, and for how long without interruption
    /// beside free room.
    std::chrono::milliseconds waitingTime(const TaskId &step) const;
    std::chrono::milliseconds timeBesideRoom(const TaskId &step) const;

    /// Returns the number of steps that are overdue as of the last round, and how long the oldest of them waits beside free room.
    std::size_t overdueSteps() const { return m_overdue.size(); }
    std::chrono::milliseconds longestTimeBesideRoom() const;

    /// Returns the number of overdue steps that were not reported because others were.
    std::size_t unreportedSteps() const;

    /// Returns how many steps have become overdue since the last call.
    std::size_t takeNewlyOverdueSteps();

private:
    static constexpr std::chrono::milliseconds RoundInterval{500};
    static constexpr std::size_t RoundsBetweenLooks = LookInterval / RoundInterval;
    static_assert(RoundsBetweenLooks * RoundInterval == LookInterval);

    using RoundHistory = std::bitset<2 * RoundsBetweenLooks + 1>; // lowest bit: this round

    struct Wait
    {
        TimePoint since{};
        std::optional<TimePoint> besideRoomSince;
        RoundHistory besideAmpleRoom;
        TimePoint observedAt{};
        bool isOverdue = false;
        TimePoint examinedAt{};
        std::optional<TimePoint> reportedAt;
        std::optional<PlacementObstacle> reportedObstacle;
    };

    struct TaskIdHash
    {
        std::size_t operator()(const TaskId &id) const;
    };

    using Waits = std::unordered_map<TaskId, Wait, TaskIdHash>;

    Waits m_waits;
    std::size_t m_observed = 0; // steps in this round
    std::vector<const Waits::value_type *> m_overdue; // of the steps observed in this round
    TimePoint m_round{}; // when the last round began
    TimePoint m_nextRound{};
    std::size_t m_newlyOverdue = 0;
};

} // namespace Hyssop
