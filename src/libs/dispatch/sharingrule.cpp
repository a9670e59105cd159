#include "sharingrule.h"

#include "workerview.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double LoadUnitMilliCores = 8000;
constexpr double SlowDownRatio = 0.75;
constexpr double HaltRatio = 1.0;
constexpr int SlowPace = 40; // percent
// Utilization left free for the swings of the serving runs' own load.
constexpr double RaiseMargin = 0.05;
constexpr double PlacementMargin = 0.12;

static double ratioOf(const SharedRun &serving)
{
    return serving.load / static_cast<double>(serving.use->tailTargetMs);
}

} // namespace Internal

void SharingRule::describe(const std::string &image, std::int64_t tailTargetMs, bool fillsIdle, RunUse &use)
{
    use.image = m_images.idOf(image);
    use.tailTargetMs = tailTargetMs;
    use.fillsIdle = fillsIdle;
}

void SharingRule::observe(const std::vector<SharedRun> &runs, const std::vector<NeighbourLoad> &ended)
{
    std::vector<NeighbourLoad> beside = ended;
    for (const SharedRun &run : runs) {
        if (run.use->fillsIdle && run.load > 0) {
            beside.push_back(loadOf(*run.use, run.load));
        }
    }
    for (const SharedRun &run : runs) {
        if (run.use->tailTargetMs > 0) {
            m_models[run.use->image].observe(run.load, beside);
        }
    }
}

NeighbourLoad SharingRule::loadOf(const RunUse &filler, double milliCores)
{
    return {filler.image, milliCores / Internal::LoadUnitMilliCores};
}

double SharingRule::headroom(const WorkerView &worker, const RunUse &candidate) const
{
    double least = 1;
    for (const auto &[servingId, serving] : worker.runs) {
        const auto model = m_models.find(serving.image);
        if (serving.tailTargetMs == 0 || model == m_models.end()) {
            continue;
        }
        double utilization = model->second.ownUtilization() + added(serving, candidate);
        for (const auto &[fillerId, filler] : worker.runs) {
            utilization += filler.fillsIdle ? added(serving, filler) : 0;
        }
        const double allowed = model->second.allowedUtilization(static_cast<double>(serving.tailTargetMs));
        const double present = model->second.utilizationOf(serving.tailMs) + added(serving, candidate);
        least = std::min(least, allowed - std::max(utilization, present + Internal::PlacementMargin));
    }
    return least;
}

double SharingRule::highestAddition(const WorkerView &worker, const RunUse &candidate) const
{
    double most = 0;
    for (const auto &[servingId, serving] : worker.runs) {
        most = serving.tailTargetMs > 0 ? std::max(most, added(serving, candidate)) : most;
    }
    return most;
}

std::vector<int> SharingRule::paces(const std::vector<SharedRun> &runs) const
{
    std::vector<int> paces;
    paces.reserve(runs.size());
    for (const SharedRun &run : runs) {
        paces.push_back(run.use->fillsIdle ? run.pacePercent : 100);
    }
    bool slowed = false;
    for (const SharedRun &run : runs) {
        if (run.use->tailTargetMs == 0 || Internal::ratioOf(run) <= Internal::SlowDownRatio) {
            continue;
        }
        const std::size_t filler = worstFiller(runs, run);
        if (filler < runs.size()) {
            const bool halt = Internal::ratioOf(run) > Internal::HaltRatio || paces[filler] <= Internal::SlowPace;
            paces[filler] = halt ? 0 : Internal::SlowPace;
            slowed = true;
        }
    }
    for (std::size_t index = 0; index < runs.size() && !slowed; ++index) {
        if (paces[index] < 100 && mayRaise(runs, runs[index])) {
            paces[index] = 100;
            break; // the effect shows before the next one is raised
        }
    }
    return paces;
}

Wire::LearnedTails SharingRule::learned() const
{
    std::map<std::uint32_t, std::string> names;
    for (const auto &[name, image] : m_images.names()) {
        names[image] = name;
    }
    Wire::LearnedTails learned;
    for (const auto &[image, model] : m_models) {
        Wire::ServingTail tail;
        tail.image = names[image];
        tail.baseMs = model.baseMs();
        tail.ownUtilization = model.ownUtilization();
        for (const auto &[neighbour, effect] : model.neighbours()) {
            Wire::NeighbourEffect entry;
            entry.image = names[neighbour];
            entry.coefficient = effect.coefficient;
            entry.variance = effect.variance;
            tail.neighbours.push_back(std::move(entry));
        }
        learned.tails.push_back(std::move(tail));
    }
    return learned;
}

void SharingRule::restore(const Wire::LearnedTails &learned)
{
    m_models.clear();
    for (const Wire::ServingTail &tail : learned.tails) {
        std::map<std::uint32_t, TailModel::Learned> neighbours;
        for (const Wire::NeighbourEffect &effect : tail.neighbours) {
            neighbours[m_images.idOf(effect.image)] = {effect.coefficient, effect.variance};
        }
        m_models[m_images.idOf(tail.image)].restore(tail.baseMs, tail.ownUtilization, neighbours);
    }
}

double SharingRule::added(const RunUse &serving, const RunUse &filler) const
{
    const auto model = m_models.find(serving.image);
    return model != m_models.end() ? model->second.added(loadOf(filler, static_cast<double>(filler.idleMilliCores))) : 0;
}

std::size_t SharingRule::worstFiller(const std::vector<SharedRun> &runs, const SharedRun &serving) const
{
    std::size_t worst = runs.size();
    double worstShare = HarmlessUtilization;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const SharedRun &run = runs[index];
        if (!run.use->fillsIdle || run.pacePercent == 0) {
            continue;
        }
        const double share = added(*serving.use, *run.use) * run.pacePercent / 100;
        if (share > worstShare) {
            worst = index;
            worstShare = share;
        }
    }
    return worst;
}

bool SharingRule::mayRaise(const std::vector<SharedRun> &runs, const SharedRun &filler) const
{
    const double share = 1 - filler.pacePercent / 100.0;
    return std::ranges::all_of(runs, [&](const SharedRun &serving) {
        const auto model = m_models.find(serving.use->image);
        if (serving.use->tailTargetMs == 0 || model == m_models.end()) {
            return true;
        }
        const double expected = model->second.utilizationOf(serving.load) + added(*serving.use, *filler.use) * share;
        return expected < model->second.allowedUtilization(static_cast<double>(serving.use->tailTargetMs)) - Internal::RaiseMargin;
    });
}

} // namespace Hyssop
