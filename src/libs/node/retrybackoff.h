#pragma once

#include <utils/error.h>

#include <chrono>
#include <random>

namespace Hyssop {

/// Time before a failed read is repeated. After reads that timed out it grows and varies, so that instances behind one full link
/// neither keep it full nor repeat at once; a store that rejects reads sends little and is tried at a constant interval.
class RetryBackoff
{
public:
    explicit RetryBackoff(std::minstd_rand::result_type seed);

    /// Returns the time to wait after a read that failed with @p code.
    std::chrono::milliseconds next(ErrorCode code);

    /// Called after a read that succeeded.
    void reset();

private:
    std::minstd_rand m_random;
    int m_timeouts = 0; // since the last success
};

} // namespace Hyssop
