#pragma once

#include "loadforecast.h"
#include "servingforecast.h"
#include "taillatencymodel.h"

#include "hyssop_types.h"

#include <placement/nametable.h>
#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

struct RunProfile;
struct WorkerState;

/// A run on a worker, as input of ColocationPolicy.
struct ColocatedRun
{
    const RunProfile *profile = nullptr;
    std::string_view jobId; // must outlive this object
    double load = 0; // serving run: tail latency in ms; other runs: thousandths of a core in use
    int speedPercent = 100; // speed of a best-effort run, as last confirmed by the worker
};

/// Decides which best-effort tasks may run beside which serving tasks, and at which speed.
///
/// Load pattern: best-effort tasks interfere with serving tasks on the same worker. The interference depends on the two
/// images and changes within seconds; it is negligible for most pairs, but some raise the tail latency tenfold. The load of
/// a serving job oscillates, so a best-effort task that fits during the trough may not fit during the peak. The interference
/// of each pair and the oscillation of each job are learned from the reported tail latencies. A best-effort task is placed
/// only where no serving task is expected to come near its target while the task runs. Before a peak, best-effort tasks are
/// throttled as far as the target requires, the one with the largest effect first.
class ColocationPolicy
{
public:
    static constexpr double NegligibleUtilization = 0.01; // a best-effort run that adds less is ignored
    static constexpr std::uint32_t MaximumImages = 1024; // all further images share one id

    /// Stores the properties of a run that colocation depends on in @p profile.
    void setColocationTraits(const std::string &image, std::int64_t tailTargetMs, bool isBestEffort, RunProfile &profile);

    /// Learns from the report of a worker. @p colocated is the load of the best-effort runs while the tail latencies were
    /// measured.
    void observe(const std::vector<ColocatedRun> &runs, const std::vector<NeighbourLoad> &colocated, TimePoint now);

    /// Returns the interfering load of a best-effort run that is reported with @p milliCores in use at @p speedPercent, as a
    /// share of its worker's @p capacity in thousandths of a core.
    static NeighbourLoad neighbourLoadOf(const RunProfile &bestEffort, double milliCores, int speedPercent, std::int64_t capacity);

    /// Returns the expected use and the headroom of the serving runs on @p worker from @p now on.
    ServingForecast forecast(const WorkerState &worker, TimePoint now) const;

    /// Returns the utilization that @p candidate adds to a serving run of @p servingImage on a worker of @p capacity.
    double addedUtilization(std::uint32_t servingImage, const RunProfile &candidate, std::int64_t capacity) const;

    /// Returns the speed in percent for each of @p runs on a worker of @p capacity; only best-effort runs get less than 100.
    std::vector<int> speeds(const std::vector<ColocatedRun> &runs, std::int64_t capacity, TimePoint now) const;

    /// Returns the part of a serving run's measured utilization that the model does not explain; 0 if it is insignificant.
    double residualUtilization(const ColocatedRun &serving, const std::vector<NeighbourLoad> &colocated, TimePoint now) const;

    /// Returns the interfering loads of the best-effort runs among @p runs.
    static std::vector<NeighbourLoad> neighbourLoadsOf(const std::vector<ColocatedRun> &runs, std::int64_t capacity);

    void forgetJob(const std::string &jobId) { m_loadForecast.forget(jobId); }

    /// Exports the learned models by image name, and restores them after a failover.
    Wire::LearnedTails learnedTails() const;
    void restore(const Wire::LearnedTails &learned);

private:
    const TailLatencyModel *modelOf(const RunProfile &serving) const;
    std::vector<int> speedsWithinTargets(const std::vector<ColocatedRun> &runs, std::int64_t capacity, TimePoint from, TimePoint until, double margin) const;

    std::map<std::uint32_t, TailLatencyModel> m_models; // by serving image
    LoadForecast m_loadForecast;
    Internal::NameTable m_images{MaximumImages};
};

} // namespace Hyssop
