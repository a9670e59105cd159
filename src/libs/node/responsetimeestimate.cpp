#include "responsetimeestimate.h"

#include <algorithm>

namespace Hyssop {

// Longer than the jitter of a store and of a busy process: while nothing fails, no request is repeated.
constexpr std::chrono::milliseconds MinimumRepeatDelay{250};
// Shorter than the timeout of a read.
constexpr std::chrono::milliseconds MaximumRepeatDelay{1000};
// Of RFC 6298.
constexpr int MeanDivisor = 8;
constexpr int DeviationDivisor = 4;
constexpr int DeviationFactor = 4;

void ResponseTimeEstimate::record(Duration shortest, Duration longest)
{
    if (!m_mean) {
        m_mean = longest;
        m_deviation = longest / 2;
        return;
    }
    const bool isInformative = shortest == longest || *m_mean < shortest || *m_mean > longest;
    if (!isInformative) {
        return;
    }
    const Duration difference = std::clamp(*m_mean, shortest, longest) - *m_mean;
    m_deviation += (std::chrono::abs(difference) - m_deviation) / DeviationDivisor;
    *m_mean += difference / MeanDivisor;
}

Duration ResponseTimeEstimate::repeatDelay() const
{
    if (!m_mean) {
        return MaximumRepeatDelay;
    }
    return std::clamp<Duration>(*m_mean + m_deviation * DeviationFactor, MinimumRepeatDelay, MaximumRepeatDelay);
}

} // namespace Hyssop
