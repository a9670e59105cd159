#include "waitingwatchdog.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <tuple>
#include <utility>

namespace Hyssop {

namespace Internal {

// After a pause of the owner of more rounds, whether room was free meanwhile is unknown.
constexpr int MaximumPausedRounds = 3;
// Examining a step visits all workers. Bounds the reports to two a second.
constexpr std::size_t MaximumExaminations = 1; // in a round
// Bounds the reports of a step whose obstacle alternates.
constexpr std::chrono::milliseconds ExaminationInterval{2000};
constexpr std::chrono::milliseconds RepeatInterval{10'000};
// More than the steps that wait in a fleet of a thousand workers.
constexpr std::size_t MaximumWaits = 10'000;

static std::chrono::milliseconds wholeMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace Internal

std::size_t WaitingWatchdog::TaskIdHash::operator()(const TaskId &id) const
{
    return std::hash<std::string>()(id.job) + static_cast<std::size_t>(id.occurrence * 31 + id.step * 7 + id.index);
}

void WaitingWatchdog::beginRound(TimePoint now)
{
    const bool wasPaused = now - m_round > Internal::MaximumPausedRounds * RoundInterval;
    for (auto &[step, wait] : m_waits) {
        wait.besideAmpleRoom <<= 1;
        if (wasPaused) {
            wait.besideRoomSince.reset();
            wait.besideAmpleRoom.reset();
            wait.isOverdue = false;
        }
    }
    m_observed = 0;
    m_overdue.clear();
    m_round = now;
    m_nextRound = now + RoundInterval;
}

void WaitingWatchdog::observe(const TaskId &step, Room room)
{
    auto found = m_waits.find(step);
    if (found == m_waits.end()) {
        if (m_waits.size() >= Internal::MaximumWaits) {
            return;
        }
        found = m_waits.emplace(step, Wait()).first;
        found->second.since = m_round;
    }
    Wait &wait = found->second;
    if (wait.observedAt == m_round) {
        return;
    }
    wait.observedAt = m_round;
    ++m_observed;
    wait.besideRoomSince = room != Room::None ? std::optional(wait.besideRoomSince.value_or(m_round)) : std::nullopt;
    wait.besideAmpleRoom[0] = room == Room::Ample;
    const bool waitedAtAllLooks = wait.besideAmpleRoom[0] && wait.besideAmpleRoom[RoundsBetweenLooks] && wait.besideAmpleRoom[2 * RoundsBetweenLooks];
    const bool isOverdue = waitedAtAllLooks || m_round - wait.besideRoomSince.value_or(m_round) >= MaximumWaitInBusyPool;
    m_newlyOverdue += isOverdue && !wait.isOverdue ? 1 : 0;
    wait.isOverdue = isOverdue;
    if (isOverdue) {
        m_overdue.push_back(&*found);
    }
}

std::vector<TaskId> WaitingWatchdog::missingSteps() const
{
    std::vector<TaskId> steps;
    if (m_observed == m_waits.size()) {
        return steps;
    }
    for (const auto &[step, wait] : m_waits) {
        if (wait.observedAt != m_round) {
            steps.push_back(step);
        }
    }
    return steps;
}

void WaitingWatchdog::endRound()
{
    if (m_observed == m_waits.size()) {
        return;
    }
    std::erase_if(m_waits, [this](const auto &item) { return m_round - item.second.observedAt > LookInterval; });
    for (auto &[step, wait] : m_waits) {
        if (wait.observedAt != m_round) {
            wait.besideRoomSince.reset();
            wait.isOverdue = false;
        }
    }
}

std::vector<TaskId> WaitingWatchdog::stepsToExamine() const
{
    std::vector<const Waits::value_type *> candidates;
    std::ranges::copy_if(m_overdue, std::back_inserter(candidates), [this](const auto *item) {
        return !item->second.reportedAt || m_round - item->second.examinedAt >= Internal::ExaminationInterval;
    });
    const std::size_t count = std::min(candidates.size(), Internal::MaximumExaminations);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {}, [](const auto *candidate) {
        const Wait &wait = candidate->second;
        return std::tuple(wait.reportedAt.has_value(), wait.examinedAt, wait.since);
    });
    std::vector<TaskId> steps;
    for (std::size_t index = 0; index < count; ++index) {
        steps.push_back(candidates[index]->first);
    }
    return steps;
}

bool WaitingWatchdog::shouldReport(const TaskId &step, std::optional<PlacementObstacle> mainObstacle)
{
    Wait &wait = m_waits.at(step);
    wait.examinedAt = m_round;
    if (wait.reportedAt && wait.reportedObstacle == mainObstacle && m_round - *wait.reportedAt < Internal::RepeatInterval) {
        return false;
    }
    wait.reportedAt = m_round;
    wait.reportedObstacle = mainObstacle;
    return true;
}

std::chrono::milliseconds WaitingWatchdog::waitingTime(const TaskId &step) const
{
    return Internal::wholeMilliseconds(m_round - m_waits.at(step).since);
}

std::chrono::milliseconds WaitingWatchdog::timeBesideRoom(const TaskId &step) const
{
    return Internal::wholeMilliseconds(m_round - m_waits.at(step).besideRoomSince.value_or(m_round));
}

std::chrono::milliseconds WaitingWatchdog::longestTimeBesideRoom() const
{
    Duration longest{0};
    for (const auto *item : m_overdue) {
        longest = std::max(longest, m_round - item->second.besideRoomSince.value_or(m_round));
    }
    return Internal::wholeMilliseconds(longest);
}

std::size_t WaitingWatchdog::unreportedSteps() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_overdue, [](const auto *item) { return !item->second.reportedAt; }));
}

std::size_t WaitingWatchdog::takeNewlyOverdueSteps()
{
    return std::exchange(m_newlyOverdue, 0);
}

} // namespace Hyssop
