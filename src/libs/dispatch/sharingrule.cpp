#include "sharingrule.h"

#include "workerview.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A filling run that presses less uses less processor time, down to this share of what it declares.
constexpr double UseWithoutPressure = 0.5;
// Time from the decision to place a task until it works.
constexpr std::chrono::milliseconds StartTime{200};
constexpr double PlacementMargin = 0.05; // of utilization
// Paces hold until the next listing of the worker.
constexpr std::chrono::milliseconds SlowHorizon{1000};
constexpr std::chrono::milliseconds RaiseHorizon{1800};
constexpr double SlowMargin = 0.0;
constexpr double RaiseMargin = 0.02;
constexpr int PaceStep = 20; // percent
// Reported tails are rough, so only a part of an unexplained one counts.
constexpr double UnexplainedShare = 0.5;
constexpr double SmallestUnexplained = 0.1;

static double effectOf(const TailModel &model, const RunUse &filler, std::int64_t capacity)
{
    return model.added({filler.image, static_cast<double>(filler.idleMilliCores) / static_cast<double>(capacity)});
}

} // namespace Internal

void SharingRule::describe(const std::string &image, std::int64_t tailTargetMs, bool fillsIdle, RunUse &use)
{
    use.image = m_images.idOf(image);
    use.tailTargetMs = tailTargetMs;
    use.fillsIdle = fillsIdle;
}

void SharingRule::observe(const std::vector<SharedRun> &runs, const std::vector<NeighbourLoad> &beside, TimePoint now)
{
    for (const SharedRun &run : runs) {
        if (run.use->tailTargetMs == 0 || run.load <= 0) {
            continue;
        }
        TailModel &model = m_models[run.use->image];
        model.observe(run.load, m_forecast.expected(run.jobId, now), beside);
        const double added = model.added(beside);
        m_forecast.observe(run.jobId, now, std::max(0.0, model.utilizationOf(run.load) - added), added * added);
    }
}

NeighbourLoad SharingRule::pressureOf(const RunUse &filler, double milliCores, int pacePercent, std::int64_t capacity)
{
    const double allowed = static_cast<double>(filler.idleMilliCores) * pacePercent / 100;
    double pressing = milliCores;
    if (allowed > 0) {
        const double share = (milliCores / allowed - Internal::UseWithoutPressure) / (1 - Internal::UseWithoutPressure);
        pressing = allowed * std::clamp(share, 0.0, 1.0);
    }
    return {filler.image, pressing / static_cast<double>(capacity)};
}

std::vector<NeighbourLoad> SharingRule::pressuresOf(const std::vector<SharedRun> &runs, std::int64_t capacity)
{
    std::vector<NeighbourLoad> pressures;
    for (const SharedRun &run : runs) {
        if (run.use->fillsIdle && run.load > 0) {
            pressures.push_back(pressureOf(*run.use, run.load, run.pacePercent, capacity));
        }
    }
    return pressures;
}

ServingOutlook SharingRule::outlook(const WorkerView &worker, TimePoint now) const
{
    ServingOutlook outlook;
    outlook.at = now;
    const auto isEnding = [&](const RunUse &run) { return run.expectedEnd != TimePoint() && run.expectedEnd <= now + Internal::StartTime; };
    for (const auto &[id, run] : worker.runs) {
        outlook.endingMilliCores += run.fillsIdle && isEnding(run) ? run.idleMilliCores : 0;
    }
    for (const auto &[id, serving] : worker.runs) {
        const TailModel *model = modelOf(serving);
        if (serving.servingMilliCores == 0) {
            continue;
        }
        const double soon = m_forecast.highest(id.job, now, now + ServingOutlook::Soon);
        outlook.milliCores += static_cast<std::int64_t>(soon * static_cast<double>(serving.servingMilliCores));
        if (model == nullptr) {
            continue;
        }
        double bearable = model->allowedUtilization(static_cast<double>(serving.tailTargetMs)) - serving.unexplained - Internal::PlacementMargin;
        for (const auto &[fillerId, filler] : worker.runs) {
            bearable -= filler.fillsIdle && !isEnding(filler) ? Internal::effectOf(*model, filler, worker.info.capacity.milliCores) : 0;
        }
        const double later = m_forecast.highest(id.job, now, now + ServingOutlook::Later);
        outlook.add({serving.image, bearable - soon, bearable - later});
    }
    return outlook;
}

double SharingRule::added(std::uint32_t servingImage, const RunUse &candidate, std::int64_t capacity) const
{
    const auto model = m_models.find(servingImage);
    return model != m_models.end() ? Internal::effectOf(model->second, candidate, capacity) : 0;
}

std::vector<int> SharingRule::paces(const std::vector<SharedRun> &runs, std::int64_t capacity, TimePoint now) const
{
    const std::vector<int> needed = fittingPaces(runs, capacity, now, now + Internal::SlowHorizon, Internal::SlowMargin);
    const std::vector<int> safe = fittingPaces(runs, capacity, now, now + Internal::RaiseHorizon, Internal::RaiseMargin);
    std::vector<int> paces;
    paces.reserve(runs.size());
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const int present = runs[index].use->fillsIdle ? runs[index].pacePercent : 100;
        paces.push_back(std::min(std::max(present, safe[index]), needed[index]));
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
    m_forecast = LoadForecast();
    double ownUtilization = 0;
    for (const Wire::ServingTail &tail : learned.tails) {
        ownUtilization += tail.ownUtilization / static_cast<double>(learned.tails.size());
        std::map<std::uint32_t, TailModel::Learned> neighbours;
        for (const Wire::NeighbourEffect &effect : tail.neighbours) {
            neighbours[m_images.idOf(effect.image)] = {effect.coefficient, effect.variance};
        }
        m_models[m_images.idOf(tail.image)].restore(tail.baseMs, tail.ownUtilization, neighbours);
    }
    if (!learned.tails.empty()) {
        m_forecast.setTypical(ownUtilization);
    }
}

const TailModel *SharingRule::modelOf(const RunUse &serving) const
{
    const auto model = serving.tailTargetMs > 0 ? m_models.find(serving.image) : m_models.end();
    return model != m_models.end() ? &model->second : nullptr;
}

double SharingRule::unexplained(const SharedRun &serving, const std::vector<NeighbourLoad> &beside, TimePoint now) const
{
    const TailModel *model = modelOf(*serving.use);
    if (model == nullptr || serving.load <= 0) {
        return 0;
    }
    const double expected = m_forecast.expected(serving.jobId, now).utilization + model->added(beside);
    const double difference = model->utilizationOf(serving.load) - expected;
    return difference > Internal::SmallestUnexplained ? difference * Internal::UnexplainedShare : 0;
}

std::vector<int> SharingRule::fittingPaces(const std::vector<SharedRun> &runs, std::int64_t capacity, TimePoint from, TimePoint until, double margin) const
{
    std::vector<int> paces(runs.size(), 100);
    for (const SharedRun &serving : runs) {
        const TailModel *model = modelOf(*serving.use);
        if (model == nullptr) {
            continue;
        }
        double utilization = m_forecast.highest(serving.jobId, from, until) + serving.use->unexplained + margin;
        std::vector<std::pair<double, std::size_t>> effects; // at full pace
        for (std::size_t index = 0; index < runs.size(); ++index) {
            const double effect = runs[index].use->fillsIdle ? Internal::effectOf(*model, *runs[index].use, capacity) : 0;
            utilization += effect * paces[index] / 100;
            if (effect > HarmlessUtilization) {
                effects.emplace_back(effect, index);
            }
        }
        std::ranges::sort(effects, std::ranges::greater());
        const double allowed = model->allowedUtilization(static_cast<double>(serving.use->tailTargetMs));
        for (const auto &[effect, index] : effects) {
            while (utilization > allowed && paces[index] > 0) {
                const int pace = std::max(0, paces[index] - Internal::PaceStep);
                utilization -= effect * (paces[index] - pace) / 100;
                paces[index] = pace;
            }
        }
    }
    return paces;
}

} // namespace Hyssop
