#pragma once

#include <map>
#include <string>

namespace Hyssop {

/// Numbers of suspected restarts of workers that are no longer known, so that the fencing token of a worker that registers again
/// is not lower than before. Memory is bounded: after MaximumWorkers, all further unknown workers get the highest number.
class RestartCounts
{
public:
    static constexpr std::size_t MaximumWorkers = 10'000;

    void record(const std::string &worker, int count);

    /// Returns a number that is at least the recorded one of @p worker.
    int countOf(const std::string &worker) const;

private:
    std::map<std::string, int> m_counts; // above the minimum
    int m_minimum = 0;
};

} // namespace Hyssop
