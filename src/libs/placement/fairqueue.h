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

/// Order of service: urgent tasks before services, services before batch.
enum class QueueClass : std::uint8_t {
    Urgent,
    Service,
    Batch,
};

/// A waiting task. Within a team and class, the lowest key is first.
struct QueueEntry
{
    std::int64_t key = 0;
    std::uint32_t task = 0;

    bool operator<(const QueueEntry &other) const { return std::tie(key, task) < std::tie(other.key, other.task); }
};

/// The waiting tasks of a team in one class. A node takes 16 bytes less than one of std::set.
using PendingTaskSet = boost::container::set<QueueEntry>;

/// Waiting tasks by team. Teams are served by weighted fair sharing of their largest resource share; the longer the
/// first task of a team has waited, the smaller the share that counts. Quotas bound what a team has in use.
class FairQueue
{
public:
    /// Returns the key of a task: the queueing time, moved forward for each level of priority. A task therefore passes
    /// later tasks of higher priority after a bounded time.
    static std::int64_t queueKey(TimePoint queuedAt, int priority);

    /// A zero component of @p quota means no limit of that resource.
    void setTeam(std::uint32_t team, double share, const Resources &quota);

    void push(std::uint32_t team, QueueClass queueClass, const QueueEntry &entry);
    void erase(std::uint32_t team, QueueClass queueClass, const QueueEntry &entry);

    void allocate(std::uint32_t team, const Resources &amount);
    void release(std::uint32_t team, const Resources &amount);

    bool withinQuota(std::uint32_t team, const Resources &amount) const;
    /// Returns true if @p amount alone exceeds the team's quota.
    bool exceedsQuota(std::uint32_t team, const Resources &amount) const;

    /// Returns the team to serve next among those with waiting tasks that are not in @p excluded.
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
