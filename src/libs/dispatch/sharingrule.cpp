#include "sharingrule.h"

#include "workerview.h"

#include <algorithm>
#include <cmath>

namespace Hyssop {

namespace Internal {

// Effects are learned for this much processor time in use.
constexpr double LoadUnitMilliCores = 8000;
// Expected effect of a pair that was not seen yet.
constexpr double UnknownEffect = 0.15;
// Average effect from which on an image counts as disturbing.
constexpr double DisturbingEffect = 0.25;
constexpr double SlowDownRatio = 0.95;
constexpr double HaltRatio = 1.5;
constexpr double SpeedUpRatio = 0.7;
constexpr int SlowPace = 40; // percent
constexpr int PaceStep = 40; // percent

static double loadOf(const SharedRun &filler)
{
    return filler.load / LoadUnitMilliCores;
}

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

void SharingRule::observe(const std::vector<SharedRun> &runs)
{
    Internal::KindLoads beside;
    for (const SharedRun &run : runs) {
        if (run.use->fillsIdle && run.load > 0) {
            beside.emplace_back(run.use->image, Internal::loadOf(run));
        }
    }
    for (const SharedRun &run : runs) {
        if (run.use->tailTargetMs > 0 && run.load > 0) {
            m_model.observe(run.use->image, run.load, beside);
        }
    }
}

double SharingRule::expectedRatio(const WorkerView &worker, const RunUse &candidate) const
{
    double worst = 0;
    for (const auto &[servingId, serving] : worker.runs) {
        if (serving.tailTargetMs == 0) {
            continue;
        }
        double exponent = effect(serving, candidate);
        for (const auto &[fillerId, filler] : worker.runs) {
            exponent += filler.fillsIdle ? effect(serving, filler) : 0;
        }
        const double tail = m_model.latencyAlone(serving.image) * std::exp(exponent);
        worst = std::max(worst, tail / static_cast<double>(serving.tailTargetMs));
    }
    return worst;
}

bool SharingRule::isDisturbing(const RunUse &filler) const
{
    return m_model.meanEffect(filler.image) > Internal::DisturbingEffect;
}

std::vector<int> SharingRule::paces(const std::vector<SharedRun> &runs) const
{
    std::vector<int> paces;
    double worst = 0;
    for (const SharedRun &run : runs) {
        paces.push_back(run.use->fillsIdle ? run.pacePercent : 100);
        worst = run.use->tailTargetMs > 0 ? std::max(worst, Internal::ratioOf(run)) : worst;
    }
    for (const SharedRun &run : runs) {
        if (run.use->tailTargetMs == 0 || Internal::ratioOf(run) <= Internal::SlowDownRatio) {
            continue;
        }
        const std::size_t filler = worstFiller(runs, run);
        if (filler < runs.size()) {
            const bool halt = Internal::ratioOf(run) > Internal::HaltRatio || paces[filler] <= Internal::SlowPace;
            paces[filler] = halt ? 0 : Internal::SlowPace;
        }
    }
    if (worst < Internal::SpeedUpRatio) {
        raiseOne(runs, paces);
    }
    return paces;
}

double SharingRule::effect(const RunUse &serving, const RunUse &filler) const
{
    const double load = static_cast<double>(filler.idleMilliCores) / Internal::LoadUnitMilliCores;
    const bool unknown = m_model.unexplored(serving.image, filler.image);
    return load * (unknown ? std::max(Internal::UnknownEffect, m_model.effect(serving.image, filler.image)) : m_model.effect(serving.image, filler.image));
}

std::size_t SharingRule::worstFiller(const std::vector<SharedRun> &runs, const SharedRun &serving) const
{
    std::size_t worst = runs.size();
    double worstShare = 0;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const SharedRun &run = runs[index];
        if (!run.use->fillsIdle || run.pacePercent == 0) {
            continue;
        }
        const double share = effect(*serving.use, *run.use) * run.pacePercent;
        if (share > worstShare) {
            worst = index;
            worstShare = share;
        }
    }
    return worst;
}

void SharingRule::raiseOne(const std::vector<SharedRun> &runs, std::vector<int> &paces) const
{
    std::size_t best = runs.size();
    double bestEffect = 0;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (!runs[index].use->fillsIdle || paces[index] >= 100) {
            continue;
        }
        double worstEffect = 0;
        for (const SharedRun &serving : runs) {
            if (serving.use->tailTargetMs > 0) {
                worstEffect = std::max(worstEffect, effect(*serving.use, *runs[index].use));
            }
        }
        if (best == runs.size() || worstEffect < bestEffect) {
            best = index;
            bestEffect = worstEffect;
        }
    }
    if (best < runs.size()) {
        paces[best] = std::min(100, paces[best] + Internal::PaceStep);
    }
}

} // namespace Hyssop
