#include "delaysummary.h"

#include <algorithm>

namespace Hyssop {

void DelaySummary::add(Duration delay)
{
    const Duration counted = std::max(delay, Duration(0));
    ++count;
    total += counted;
    longest = std::max(longest, counted);
}

void DelaySummary::add(const DelaySummary &other)
{
    count += other.count;
    total += other.total;
    longest = std::max(longest, other.longest);
}

std::chrono::milliseconds DelaySummary::mean() const
{
    const Duration mean = count > 0 ? total / static_cast<Duration::rep>(count) : Duration(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(mean);
}

} // namespace Hyssop
