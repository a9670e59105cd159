#pragma once

#include <utils/clock.h>
#include <utils/resources.h>

#include <boost/container/set.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace Hyssop::Internal {

/// Priority classes, highest first.
enum class QueueClass : std::uint8_t {
    Urgent,
    Service,
    Batch,
};

/// A pending task. The one with the lowest key is the first of its team and class.
struct QueueEntry
{
    std::int64_t key = 0;
    std::uint32_t task = 0;

    bool operator<(const QueueEntry &other) const { return std::tie(key, task) < std::tie(other.key, other.task); }
};

/// The pending tasks of a team in one class. A node of this container takes 16 bytes less than one of std::set.
using PendingTaskSet = boost::container::set<QueueEntry>;

/// Pending tasks by team. Teams are served by weighted dominant resource fairness. The longer the first task of a team has
/// waited, the more the dominant share of the team is discounted. Quotas limit the resources that a team has in use.
class FairQueue
{
public:
    /// Returns the sort key of a task: its queueing time, minus a fixed time for each priority level. A task does not starve,
    /// because tasks of higher priority that are queued long enough after it come later.
    static std::int64_t queueKey(TimePoint queuedAt, int priority);

    /// A zero component of @p quota means that the resource is not limited.
    void setTeam(std::uint32_t team, double share, const Resources &quota);

    void push(std::uint32_t team, QueueClass queueClass, const QueueEntry &entry);
    void erase(std::uint32_t team, QueueClass queueClass, const QueueEntry &entry);

    void allocate(std::uint32_t team, const Resources &amount);
    void release(std::uint32_t team, const Resources &amount);

    bool withinQuota(std::uint32_t team, const Resources &amount) const;
    /// Returns true if @p amount exceeds the quota of the team even when nothing is in use.
    bool exceedsQuota(std::uint32_t team, const Resources &amount) const;

    /// Returns the team to serve next. Considers teams with pending tasks that are not marked in @p excluded.
    std::optional<std::uint32_t> nextTeam(QueueClass queueClass, const Resources &total, TimePoint now, const std::vector<char> &excluded) const;

    const PendingTaskSet &pending(std::uint32_t team, QueueClass queueClass) const;
    std::size_t teamCount() const { return m_teams.size(); }
    std::size_t size() const { return m_size; }

private:
    struct Team
    {
        double share = 1;
        Resources quota;
        Resources inUse;
        std::array<PendingTaskSet, 3> pending;
    };

    Team &teamOf(std::uint32_t team);

    std::vector<Team> m_teams;
    std::size_t m_size = 0;
};

} // namespace Hyssop::Internal
