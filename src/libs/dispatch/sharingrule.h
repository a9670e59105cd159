#pragma once

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
    double load = 0; // tail in ms of a serving run; thousandths of a core in use of others
    int pacePercent = 100; // of a filling run, as last confirmed by the worker
};

/// Decides which filling tasks may run beside which serving tasks, and at which pace.
///
/// Load pattern: filling tasks slow serving tasks on the same worker, by amounts that differ between the two images and
/// change within seconds; most pairs are harmless and some raise the tail tenfold. The effect of each pair is learned from
/// the reported tails. A filling task is placed only where no serving task is expected to come near its target, and when a
/// tail is over its target, the filling run with the largest learned share in it is slowed first.
class SharingRule
{
public:
    static constexpr double HarmlessUtilization = 0.03; // a filling run that adds less is harmless
    static constexpr std::uint32_t MostImages = 1024; // further images count as one

    /// Notes the image of a run in @p use.
    void describe(const std::string &image, std::int64_t tailTargetMs, bool fillsIdle, RunUse &use);

    /// Learns from what a worker lists. @p ended is what filling runs used that ended in the time of the reported tails.
    void observe(const std::vector<SharedRun> &runs, const std::vector<NeighbourLoad> &ended);

    /// Returns the load of a filling run that uses @p milliCores.
    static NeighbourLoad loadOf(const RunUse &filler, double milliCores);

    /// Returns by how much the utilization of the worst-off serving run on @p worker is expected to stay below the highest
    /// one that its target allows, with @p candidate added; 1 without serving runs.
    double headroom(const WorkerView &worker, const RunUse &candidate) const;

    /// Returns the utilization that @p candidate adds to the serving run on @p worker that it disturbs most.
    double highestAddition(const WorkerView &worker, const RunUse &candidate) const;

    /// Returns the pace in percent for each of @p runs (of filling runs; others get 100).
    std::vector<int> paces(const std::vector<SharedRun> &runs) const;

    /// What the rule has learned, by image names, and a start with what an earlier one has learned.
    Wire::LearnedTails learned() const;
    void restore(const Wire::LearnedTails &learned);

private:
    double added(const RunUse &serving, const RunUse &filler) const;
    std::size_t worstFiller(const std::vector<SharedRun> &runs, const SharedRun &serving) const;
    bool mayRaise(const std::vector<SharedRun> &runs, const SharedRun &filler) const;

    std::map<std::uint32_t, TailModel> m_models; // by serving image
    Internal::NameTable m_images{MostImages};
};

} // namespace Hyssop
