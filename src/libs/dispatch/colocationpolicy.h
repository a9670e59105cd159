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
#include <vector>

namespace Hyssop {

struct RunProfile;
struct WorkerState;

/// One run on a worker as the sharing rule sees it.
struct ColocatedRun
{
    const RunProfile *profile = nullptr;
    std::string jobId;
    double load = 0; // tail in ms of a serving run; thousandths of a core in use of others
    int speedPercent = 100; // of a filling run, as last confirmed by the worker
};

/// Decides which filling tasks may run beside which serving tasks, and at which pace.
///
/// Load pattern: filling tasks slow serving tasks on the same worker, by amounts that differ between the two images and
/// change within seconds; most pairs are harmless and some raise the tail tenfold. The own load of a serving job swings, so
/// what fits in its trough does not fit at its crest. The effect of each pair and the swing of each job are learned from the
/// reported tails. A filling task is placed only where no serving task is expected to come near its target while it runs,
/// and is slowed before a crest as far as the target needs, the run with the largest effect first.
class ColocationPolicy
{
public:
    static constexpr double NegligibleUtilization = 0.01; // a filling run that adds less is harmless
    static constexpr std::uint32_t MaximumImages = 1024; // further images count as one

    /// Notes the image of a run in @p profile.
    void setColocationTraits(const std::string &image, std::int64_t tailTargetMs, bool isBestEffort, RunProfile &profile);

    /// Learns from what a worker lists. @p colocated is the pressure of the filling runs in the time of the reported tails.
    void observe(const std::vector<ColocatedRun> &runs, const std::vector<NeighbourLoad> &colocated, TimePoint now);

    /// Returns the pressure of a filling run that is listed with @p milliCores in use at @p speedPercent, as a share of its
    /// worker's @p capacity in thousandths of a core.
    static NeighbourLoad neighbourLoadOf(const RunProfile &bestEffort, double milliCores, int speedPercent, std::int64_t capacity);

    /// Returns what the serving runs on @p worker use and can still bear from @p now on.
    ServingForecast forecast(const WorkerState &worker, TimePoint now) const;

    /// Returns the utilization that @p candidate adds to a serving run of @p servingImage on a worker of @p capacity.
    double addedUtilization(std::uint32_t servingImage, const RunProfile &candidate, std::int64_t capacity) const;

    /// Returns the pace in percent for each of @p runs (of filling runs; others get 100) on a worker of @p capacity.
    std::vector<int> speeds(const std::vector<ColocatedRun> &runs, std::int64_t capacity, TimePoint now) const;

    /// Returns the part of a serving run's present utilization that was not expected; 0 if it is too small to tell.
    double residualUtilization(const ColocatedRun &serving, const std::vector<NeighbourLoad> &colocated, TimePoint now) const;

    /// Returns the pressures of the filling runs among @p runs.
    static std::vector<NeighbourLoad> neighbourLoadsOf(const std::vector<ColocatedRun> &runs, std::int64_t capacity);

    void forgetJob(const std::string &jobId) { m_loadForecast.forget(jobId); }

    /// What the rule has learned, by image names, and a start with what an earlier one has learned.
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
