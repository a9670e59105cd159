#pragma once

#include "loadforecast.h"
#include "servingoutlook.h"
#include "tailmodel.h"

#include "hyssop_types.h"

#include <placement/nametable.h>
#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssop {

struct RunUse;
struct WorkerView;

/// One run on a worker as the sharing rule sees it.
struct SharedRun
{
    const RunUse *use = nullptr;
    std::string jobId;
    double load = 0; // tail in ms of a serving run; thousandths of a core in use of others
    int pacePercent = 100; // of a filling run, as last confirmed by the worker
};

/// Decides which filling tasks may run beside which serving tasks, and at which pace.
///
/// Load pattern: filling tasks slow serving tasks on the same worker, by amounts that differ between the two images and
/// change within seconds; most pairs are harmless and some raise the tail tenfold. The own load of a serving job swings, so
/// what fits in its trough does not fit at its crest. The effect of each pair and the swing of each job are learned from the
/// reported tails. A filling task is placed only where no serving task is expected to come near its target while it runs,
/// and is slowed before a crest as far as the target needs, the run with the largest effect first.
class SharingRule
{
public:
    static constexpr double HarmlessUtilization = 0.01; // a filling run that adds less is harmless
    static constexpr std::uint32_t MostImages = 1024; // further images count as one

    /// Notes the image of a run in @p use.
    void describe(const std::string &image, std::int64_t tailTargetMs, bool fillsIdle, RunUse &use);

    /// Learns from what a worker lists. @p beside is the pressure of the filling runs in the time of the reported tails.
    void observe(const std::vector<SharedRun> &runs, const std::vector<NeighbourLoad> &beside, TimePoint now);

    /// Returns the pressure of a filling run that is listed with @p milliCores in use at @p pacePercent, as a share of its
    /// worker's @p capacity in thousandths of a core.
    static NeighbourLoad pressureOf(const RunUse &filler, double milliCores, int pacePercent, std::int64_t capacity);

    /// Returns what the serving runs on @p worker use and can still bear from @p now on.
    ServingOutlook outlook(const WorkerView &worker, TimePoint now) const;

    /// Returns the utilization that @p candidate adds to a serving run of @p servingImage on a worker of @p capacity.
    double added(std::uint32_t servingImage, const RunUse &candidate, std::int64_t capacity) const;

    /// Returns the pace in percent for each of @p runs (of filling runs; others get 100) on a worker of @p capacity.
    std::vector<int> paces(const std::vector<SharedRun> &runs, std::int64_t capacity, TimePoint now) const;

    /// Returns the part of a serving run's present utilization that was not expected; 0 if it is too small to tell.
    double unexplained(const SharedRun &serving, const std::vector<NeighbourLoad> &beside, TimePoint now) const;

    /// Returns the pressures of the filling runs among @p runs.
    static std::vector<NeighbourLoad> pressuresOf(const std::vector<SharedRun> &runs, std::int64_t capacity);

    void forgetJob(const std::string &jobId) { m_forecast.forget(jobId); }

    /// What the rule has learned, by image names, and a start with what an earlier one has learned.
    Wire::LearnedTails learned() const;
    void restore(const Wire::LearnedTails &learned);

private:
    const TailModel *modelOf(const RunUse &serving) const;
    std::vector<int> fittingPaces(const std::vector<SharedRun> &runs, std::int64_t capacity, TimePoint from, TimePoint until, double margin) const;

    std::map<std::uint32_t, TailModel> m_models; // by serving image
    LoadForecast m_forecast;
    Internal::NameTable m_images{MostImages};
};

} // namespace Hyssop
