#include "responsetimeestimator.h"

#include <algorithm>
#include <cmath>

namespace Hyssop {

// Below, the delays of single responses would cause repeated polls.
constexpr std::chrono::milliseconds ShortestUsualTime{150};
constexpr std::chrono::milliseconds LongestUsualTime{2500};
constexpr double MeanGain = 1.0 / 16;
constexpr double DeviationGain = 1.0 / 16;
constexpr double DeviationFactor = 4;

void ResponseTimeEstimator::recordResponse(Duration sinceSent, Duration wait)
{
    if (sinceSent >= wait) {
        record(sinceSent - wait);
    } else if (sinceSent < m_mean) {
        record(sinceSent); // sent before the wait was over, so this is an upper bound of the response time
    }
}

void ResponseTimeEstimator::record(std::chrono::duration<double> responseTime)
{
    const auto error = responseTime - m_mean;
    m_mean += MeanGain * error;
    m_deviation += DeviationGain * (std::chrono::duration<double>(std::abs(error.count())) - m_deviation);
}

Duration ResponseTimeEstimator::usualTime() const
{
    const auto usual = std::chrono::duration_cast<Duration>(m_mean + DeviationFactor * m_deviation);
    return std::clamp<Duration>(usual, ShortestUsualTime, LongestUsualTime);
}

} // namespace Hyssop
