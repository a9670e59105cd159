#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Hyssop {

/// How often the fencing tokens of workers that are no longer known have risen, so that the fencing token of a worker that registers again
/// is not lower than before. Memory is bounded: after MaximumWorkers, all further unknown workers get the highest number.
class TokenRises
{
public:
    static constexpr std::size_t MaximumWorkers = 10'000;

    void record(const std::string &worker, std::int64_t count);

    /// Returns a number that is at least the recorded one of @p worker.
    std::int64_t countOf(const std::string &worker) const;

private:
    std::map<std::string, std::int64_t> m_counts; // above the minimum
    std::int64_t m_minimum = 0;
};

} // namespace Hyssop
