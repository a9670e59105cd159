#include "interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace Hyssop::Internal {

namespace {

constexpr double LearningRate = 0.1;
constexpr double MaximumEffect = 2;
constexpr float SamplesUntilExplored = 20;
constexpr std::chrono::seconds DecayInterval{60};
constexpr double HalfLifeIntervals = 30; // 30 min

} // namespace

void InterferenceModel::observe(std::uint32_t service, double latencyUs, const KindLoads &colocatedLoads)
{
    if (latencyUs <= 0) {
        return;
    }
    Row &row = rowOf(service);
    const double measured = std::log(latencyUs);
    if (!row.initialized) {
        row.initialized = true;
        row.baseline = measured;
    }
    double predicted = row.baseline;
    double norm = 1;
    for (const auto &[kind, load] : colocatedLoads) {
        if (kind >= row.pairs.size()) {
            row.pairs.resize(kind + 1);
        }
        predicted += row.pairs[kind].effect * load;
        norm += load * load;
    }
    const double step = LearningRate * (measured - predicted) / norm;
    row.baseline += step;
    for (const auto &[kind, load] : colocatedLoads) {
        Pair &pair = row.pairs[kind];
        pair.effect = static_cast<float>(std::clamp(pair.effect + step * load, 0.0, MaximumEffect));
        pair.samples += 1;
    }
}

double InterferenceModel::effect(std::uint32_t service, std::uint32_t kind) const
{
    if (service >= m_rows.size() || kind >= m_rows[service].pairs.size()) {
        return 0;
    }
    return m_rows[service].pairs[kind].effect;
}

bool InterferenceModel::unexplored(std::uint32_t service, std::uint32_t kind) const
{
    if (service >= m_rows.size() || kind >= m_rows[service].pairs.size()) {
        return true;
    }
    return m_rows[service].pairs[kind].samples < SamplesUntilExplored;
}

void InterferenceModel::decayTo(TimePoint now)
{
    if (now - m_decayedAt < DecayInterval) {
        return;
    }
    const double intervals = std::chrono::duration<double>(now - m_decayedAt) / DecayInterval;
    m_decayedAt = now;
    const auto factor = static_cast<float>(std::exp2(-intervals / HalfLifeIntervals));
    for (Row &row : m_rows) {
        for (Pair &pair : row.pairs) {
            pair.effect *= factor;
            pair.samples *= factor;
        }
    }
}

InterferenceModel::Row &InterferenceModel::rowOf(std::uint32_t service)
{
    if (service >= m_rows.size()) {
        m_rows.resize(service + 1);
    }
    return m_rows[service];
}

} // namespace Hyssop::Internal
