#pragma once

#include <utils/clock.h>

#include <optional>

namespace Hyssop {

/// Slow start of a service after its targets were unavailable: the admitted share of the load grows linearly to 1.
class AdmissionRamp
{
public:
    explicit AdmissionRamp(Duration duration = std::chrono::seconds(10));

    /// Starts the ramp at its smallest share.
    void restart(TimePoint now);

    /// Returns the admitted share, 0.1 to 1.
    double admittedShare(TimePoint now) const;

private:
    Duration m_duration;
    std::optional<TimePoint> m_startedAt;
};

} // namespace Hyssop
