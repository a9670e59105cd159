#include "stagetimes.h"

#include <cstdio>
#include <ctime>

namespace Hyssop::Bench {

std::chrono::nanoseconds threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void StageTimes::end(const std::string &stage, std::int64_t count)
{
    const std::chrono::nanoseconds now = threadTime();
    Stage &entry = m_stages[stage];
    entry.time += now - m_mark;
    entry.count += count;
    m_mark = now;
}

void StageTimes::print(std::chrono::milliseconds simulated) const
{
    std::printf("%-30s %12s %12s %12s\n", "stage", "per second", "us each", "core %");
    const double seconds = std::chrono::duration<double>(simulated).count();
    for (const auto &[name, stage] : m_stages) {
        const double microseconds = std::chrono::duration<double, std::micro>(stage.time).count();
        const auto count = static_cast<double>(stage.count);
        std::printf("%-30s %12.1f %12.2f %12.2f\n", name.c_str(), count / seconds, count > 0 ? microseconds / count : 0, microseconds / seconds / 1e4);
    }
}

} // namespace Hyssop::Bench
