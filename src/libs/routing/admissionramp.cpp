#include "admissionramp.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double InitialShare = 0.1;

} // namespace Internal

AdmissionRamp::AdmissionRamp(Duration duration)
    : m_duration(duration)
{
}

void AdmissionRamp::restart(TimePoint now)
{
    m_startedAt = now;
}

double AdmissionRamp::admittedShare(TimePoint now) const
{
    if (!m_startedAt || m_duration <= Duration::zero()) {
        return 1;
    }
    const double progress = std::chrono::duration<double>(now - *m_startedAt) / std::chrono::duration<double>(m_duration);
    return std::clamp(Internal::InitialShare + (1 - Internal::InitialShare) * progress, Internal::InitialShare, 1.0);
}

} // namespace Hyssop
