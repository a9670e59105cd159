#include "fairqueue.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

constexpr std::chrono::minutes WaitPerPriorityLevel{10};
constexpr double AgingHours = 1; // a wait of this length halves the share that is compared

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

double dominantShare(const Resources &used, const Resources &total)
{
    return std::max({fraction(used.milliCores, total.milliCores),
                     fraction(used.memoryBytes, total.memoryBytes),
                     fraction(used.accelerators, total.accelerators),
                     fraction(used.slots, total.slots)});
}

bool within(std::int64_t amount, std::int64_t quota)
{
    return quota == 0 || amount <= quota;
}

bool allWithin(const Resources &amount, const Resources &quota)
{
    return within(amount.milliCores, quota.milliCores) && within(amount.memoryBytes, quota.memoryBytes) && within(amount.accelerators, quota.accelerators)
        && within(amount.slots, quota.slots);
}

} // namespace

std::int64_t FairQueue::queueKey(TimePoint queuedAt, int priority)
{
    return std::chrono::nanoseconds(queuedAt.time_since_epoch() - priority * WaitPerPriorityLevel).count();
}

void FairQueue::setTeam(std::uint32_t team, double share, const Resources &quota)
{
    Team &entry = teamOf(team);
    entry.share = std::max(share, 1e-6);
    entry.quota = quota;
}

void FairQueue::push(std::uint32_t team, QueueClass queueClass, const QueueEntry &entry)
{
    m_size += teamOf(team).pending[static_cast<std::size_t>(queueClass)].insert(entry).second ? 1 : 0;
}

void FairQueue::erase(std::uint32_t team, QueueClass queueClass, const QueueEntry &entry)
{
    m_size -= teamOf(team).pending[static_cast<std::size_t>(queueClass)].erase(entry);
}

void FairQueue::allocate(std::uint32_t team, const Resources &amount)
{
    teamOf(team).inUse += amount;
}

void FairQueue::release(std::uint32_t team, const Resources &amount)
{
    teamOf(team).inUse -= amount;
}

bool FairQueue::withinQuota(std::uint32_t team, const Resources &amount) const
{
    return allWithin(m_teams[team].inUse + amount, m_teams[team].quota);
}

bool FairQueue::exceedsQuota(std::uint32_t team, const Resources &amount) const
{
    return !allWithin(amount, m_teams[team].quota);
}

std::optional<std::uint32_t> FairQueue::nextTeam(QueueClass queueClass, const Resources &total, TimePoint now, const std::vector<char> &excluded) const
{
    std::optional<std::uint32_t> best;
    double lowestShare = 0;
    for (std::uint32_t index = 0; index < m_teams.size(); ++index) {
        const Team &team = m_teams[index];
        const auto &tasks = team.pending[static_cast<std::size_t>(queueClass)];
        if (excluded[index] || tasks.empty()) {
            continue;
        }
        const double waitedHours = std::max(0.0, static_cast<double>(now.time_since_epoch().count() - tasks.begin()->key) / 3.6e12);
        const double share = dominantShare(team.inUse, total) / team.share / (1 + waitedHours / AgingHours);
        if (!best || share < lowestShare) {
            best = index;
            lowestShare = share;
        }
    }
    return best;
}

const PendingTaskSet &FairQueue::pending(std::uint32_t team, QueueClass queueClass) const
{
    return m_teams[team].pending[static_cast<std::size_t>(queueClass)];
}

FairQueue::Team &FairQueue::teamOf(std::uint32_t team)
{
    if (team >= m_teams.size()) {
        m_teams.resize(team + 1);
    }
    return m_teams[team];
}

} // namespace Hyssop::Internal
