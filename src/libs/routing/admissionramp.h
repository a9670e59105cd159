#pragma once

#include <utils/clock.h>

#include <optional>

namespace Hyssop {

/// Share of the load that is admitted after an outage or a return: starts small and grows linearly to all of it.
class AdmissionRamp
{
public:
    explicit AdmissionRamp(Duration length = std::chrono::seconds(10));

    /// Begins the ramp.
    void restart(TimePoint now);

    /// Returns the admitted share, 0.1 to 1.
    double admittedShare(TimePoint now) const;

private:
    Duration m_length;
    std::optional<TimePoint> m_startedAt;
};

} // namespace Hyssop
