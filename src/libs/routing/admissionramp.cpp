#include "admissionramp.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double FirstShare = 0.1;

} // namespace Internal

AdmissionRamp::AdmissionRamp(Duration length)
    : m_length(length)
{
}

void AdmissionRamp::restart(TimePoint now)
{
    m_startedAt = now;
}

double AdmissionRamp::admittedShare(TimePoint now) const
{
    if (!m_startedAt || m_length <= Duration::zero()) {
        return 1;
    }
    const double progress = std::chrono::duration<double>(now - *m_startedAt) / std::chrono::duration<double>(m_length);
    return std::clamp(Internal::FirstShare + (1 - Internal::FirstShare) * progress, Internal::FirstShare, 1.0);
}

} // namespace Hyssop
