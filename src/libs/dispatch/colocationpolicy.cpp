#include "colocationpolicy.h"

#include "workerstate.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// Up to this share of its declared processor time, a best-effort run causes no interference; above it, interference grows
// linearly.
constexpr double UncontendedUseShare = 0.5;
// Time from the placement decision until the task runs.
constexpr std::chrono::milliseconds StartLatency{200};
constexpr double PlacementMargin = 0.05; // utilization
constexpr std::chrono::milliseconds UnthrottleHorizon{1800};
constexpr double ThrottleMargin = 0.0;
constexpr double UnthrottleMargin = 0.02;
constexpr int SpeedStep = 5; // percent
// Reported tail latencies are noisy, so a residual counts only in part.
constexpr double ResidualWeight = 0.5;
constexpr double MinimumResidual = 0.1;

static double effectOf(const TailLatencyModel &model, const RunProfile &bestEffort, std::int64_t capacity)
{
    return model.addedUtilization({bestEffort.image, static_cast<double>(bestEffort.bestEffortMilliCores) / static_cast<double>(capacity)});
}

} // namespace Internal

void ColocationPolicy::setColocationTraits(const std::string &image, std::int64_t tailTargetMs, bool isBestEffort, RunProfile &profile)
{
    profile.image = m_images.idOf(image);
    profile.tailTargetMs = tailTargetMs;
    profile.isBestEffort = isBestEffort;
}

void ColocationPolicy::observe(const std::vector<ColocatedRun> &runs, const std::vector<NeighbourLoad> &colocated, TimePoint now)
{
    for (const ColocatedRun &run : runs) {
        if (run.profile->tailTargetMs == 0 || run.load <= 0) {
            continue;
        }
        TailLatencyModel &model = m_models[run.profile->image];
        model.observe(run.load, m_loadForecast.expected(run.jobId, now), colocated);
        const double added = model.addedUtilization(colocated);
        m_loadForecast.observe(run.jobId, now, std::max(0.0, model.utilizationOf(run.load) - added), added * added);
    }
}

NeighbourLoad ColocationPolicy::neighbourLoadOf(const RunProfile &bestEffort, double milliCores, int speedPercent, std::int64_t capacity)
{
    const double allowed = static_cast<double>(bestEffort.bestEffortMilliCores) * speedPercent / 100;
    double contending = milliCores;
    if (allowed > 0) {
        const double share = (milliCores / allowed - Internal::UncontendedUseShare) / (1 - Internal::UncontendedUseShare);
        contending = allowed * std::clamp(share, 0.0, 1.0);
    }
    return {bestEffort.image, contending / static_cast<double>(capacity)};
}

std::vector<NeighbourLoad> ColocationPolicy::neighbourLoadsOf(const std::vector<ColocatedRun> &runs, std::int64_t capacity)
{
    std::vector<NeighbourLoad> neighbourLoads;
    for (const ColocatedRun &run : runs) {
        if (run.profile->isBestEffort && run.load > 0) {
            neighbourLoads.push_back(neighbourLoadOf(*run.profile, run.load, run.speedPercent, capacity));
        }
    }
    return neighbourLoads;
}

ServingForecast ColocationPolicy::forecast(const WorkerState &worker, TimePoint now) const
{
    ServingForecast forecast;
    forecast.at = now;
    const auto isEnding = [&](const RunProfile &run) { return run.expectedEnd != TimePoint() && run.expectedEnd <= now + Internal::StartLatency; };
    for (const auto &[id, run] : worker.runs) {
        forecast.endingMilliCores += run.isBestEffort && isEnding(run) ? run.bestEffortMilliCores : 0;
    }
    for (const auto &[id, serving] : worker.runs) {
        const TailLatencyModel *model = modelOf(serving);
        if (serving.servingMilliCores == 0) {
            continue;
        }
        const double use = m_loadForecast.maximum(id.job, now, now + ServingForecast::ProcessorHorizon);
        forecast.milliCores += static_cast<std::int64_t>(use * static_cast<double>(serving.servingMilliCores));
        if (model == nullptr) {
            continue;
        }
        double headroom = model->allowedUtilization(static_cast<double>(serving.tailTargetMs)) - serving.residualUtilization - Internal::PlacementMargin;
        double added = 0; // by best-effort runs at full speed
        for (const auto &[bestEffortId, bestEffort] : worker.runs) {
            added += bestEffort.isBestEffort && !isEnding(bestEffort) ? Internal::effectOf(*model, bestEffort, worker.info.capacity.milliCores) : 0;
        }
        headroom -= m_loadForecast.maximum(id.job, now, now + ServingForecast::ControlHorizon);
        forecast.add({serving.image, headroom - added});
    }
    return forecast;
}

double ColocationPolicy::addedUtilization(std::uint32_t servingImage, const RunProfile &candidate, std::int64_t capacity) const
{
    const auto model = m_models.find(servingImage);
    return model != m_models.end() ? Internal::effectOf(model->second, candidate, capacity) : 0;
}

std::vector<int> ColocationPolicy::speeds(const std::vector<ColocatedRun> &runs, std::int64_t capacity, TimePoint now) const
{
    const auto isBestEffort = [](const ColocatedRun &run) { return run.profile->isBestEffort; };
    if (std::ranges::none_of(runs, isBestEffort)) {
        return std::vector<int>(runs.size(), 100);
    }
    std::vector<int> needed = speedsWithinTargets(runs, capacity, now, now + ServingForecast::ControlHorizon, Internal::ThrottleMargin);
    const auto isThrottled = [&](const ColocatedRun &run) { return isBestEffort(run) && run.speedPercent < 100; };
    if (std::ranges::none_of(runs, isThrottled)) {
        return needed;
    }
    const std::vector<int> safe = speedsWithinTargets(runs, capacity, now, now + Internal::UnthrottleHorizon, Internal::UnthrottleMargin);
    std::vector<int> speeds;
    speeds.reserve(runs.size());
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const int current = runs[index].profile->isBestEffort ? runs[index].speedPercent : 100;
        speeds.push_back(std::min(std::max(current, safe[index]), needed[index]));
    }
    return speeds;
}

Wire::LearnedTails ColocationPolicy::learnedTails() const
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

void ColocationPolicy::restore(const Wire::LearnedTails &learned)
{
    m_models.clear();
    m_loadForecast = LoadForecast();
    double ownUtilization = 0;
    for (const Wire::ServingTail &tail : learned.tails) {
        ownUtilization += tail.ownUtilization / static_cast<double>(learned.tails.size());
        std::map<std::uint32_t, TailLatencyModel::LearnedEffect> neighbours;
        for (const Wire::NeighbourEffect &effect : tail.neighbours) {
            neighbours[m_images.idOf(effect.image)] = {effect.coefficient, effect.variance};
        }
        m_models[m_images.idOf(tail.image)].restore(tail.baseMs, tail.ownUtilization, neighbours);
    }
    if (!learned.tails.empty()) {
        m_loadForecast.setMeanUtilization(ownUtilization);
    }
}

const TailLatencyModel *ColocationPolicy::modelOf(const RunProfile &serving) const
{
    const auto model = serving.tailTargetMs > 0 ? m_models.find(serving.image) : m_models.end();
    return model != m_models.end() ? &model->second : nullptr;
}

double ColocationPolicy::residualUtilization(const ColocatedRun &serving, const std::vector<NeighbourLoad> &colocated, TimePoint now) const
{
    const TailLatencyModel *model = modelOf(*serving.profile);
    if (model == nullptr || serving.load <= 0) {
        return 0;
    }
    const double expected = m_loadForecast.expected(serving.jobId, now).utilization + model->addedUtilization(colocated);
    const double difference = model->utilizationOf(serving.load) - expected;
    return difference > Internal::MinimumResidual ? difference * Internal::ResidualWeight : 0;
}

std::vector<int>
ColocationPolicy::speedsWithinTargets(const std::vector<ColocatedRun> &runs, std::int64_t capacity, TimePoint from, TimePoint until, double margin) const
{
    std::vector<int> speeds(runs.size(), 100);
    for (const ColocatedRun &serving : runs) {
        const TailLatencyModel *model = modelOf(*serving.profile);
        if (model == nullptr) {
            continue;
        }
        double utilization = m_loadForecast.maximum(serving.jobId, from, until) + serving.profile->residualUtilization + margin;
        std::vector<std::pair<double, std::size_t>> effects; // at full speed
        for (std::size_t index = 0; index < runs.size(); ++index) {
            const double effect = runs[index].profile->isBestEffort ? Internal::effectOf(*model, *runs[index].profile, capacity) : 0;
            utilization += effect * speeds[index] / 100;
            if (effect > NegligibleUtilization) {
                effects.emplace_back(effect, index);
            }
        }
        std::ranges::sort(effects, std::ranges::greater());
        const double allowed = model->allowedUtilization(static_cast<double>(serving.profile->tailTargetMs));
        for (const auto &[effect, index] : effects) {
            while (utilization > allowed && speeds[index] > 0) {
                const int speed = std::max(0, speeds[index] - Internal::SpeedStep);
                utilization -= effect * (speeds[index] - speed) / 100;
                speeds[index] = speed;
            }
        }
    }
    return speeds;
}

} // namespace Hyssop
