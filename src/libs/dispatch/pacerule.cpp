#include "pacerule.h"

#include "workerview.h"

#include <algorithm>

namespace Hyssop {

// Tails are reported over half a second, so the effect of a change shows only after that time.
constexpr std::chrono::milliseconds SlowDownInterval{600};
constexpr std::chrono::milliseconds SpeedUpInterval{1500};
constexpr double SlowDownRatio = 1.0;
constexpr double HaltRatio = 1.6;
constexpr double SpeedUpRatio = 0.7;
constexpr int SlowDownStep = 40; // percent
constexpr int SpeedUpStep = 30; // percent

std::optional<int> nextFillPace(const WorkerView &worker, double worstRatio, TimePoint now)
{
    const Duration elapsed = now - worker.paceChangedAt;
    if (worstRatio > SlowDownRatio && worker.fillPercent > 0 && elapsed >= SlowDownInterval) {
        return worstRatio > HaltRatio ? 0 : std::max(0, worker.fillPercent - SlowDownStep);
    }
    if (worstRatio < SpeedUpRatio && worker.fillPercent < 100 && elapsed >= SpeedUpInterval) {
        return std::min(100, worker.fillPercent + SpeedUpStep);
    }
    return std::nullopt;
}

} // namespace Hyssop
