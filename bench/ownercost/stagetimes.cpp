#include "stagetimes.h"

#include "allocations.h"

#include <ctime>

namespace Hyssop::Bench {

std::chrono::nanoseconds threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void StageTimes::begin()
{
    m_markedAllocations = allocations();
    m_mark = threadTime();
}

void StageTimes::end(const std::string &stage, std::int64_t count)
{
    const std::chrono::nanoseconds now = threadTime();
    const std::int64_t allocated = allocations() - m_markedAllocations;
    Stage &entry = m_stages[stage];
    entry.time += now - m_mark;
    m_total += now - m_mark;
    entry.count += count;
    entry.allocations += allocated;
    begin();
}

std::vector<StageCost> StageTimes::costs(std::chrono::milliseconds simulated) const
{
    const double seconds = std::chrono::duration<double>(simulated).count();
    std::vector<StageCost> costs;
    for (const auto &[name, stage] : m_stages) {
        costs.push_back(costOf(name, stage, static_cast<double>(stage.count) / seconds));
    }
    return costs;
}

StageCost StageTimes::cost(const std::string &stage, double eventsPerSecond) const
{
    return costOf(stage, m_stages.at(stage), eventsPerSecond);
}

StageCost StageTimes::costOf(const std::string &name, const Stage &stage, double eventsPerSecond)
{
    const auto count = static_cast<double>(stage.count);
    const double microseconds = std::chrono::duration<double, std::micro>(stage.time).count();
    return {name, eventsPerSecond, count > 0 ? microseconds / count : 0, count > 0 ? static_cast<double>(stage.allocations) / count : 0};
}

} // namespace Hyssop::Bench
