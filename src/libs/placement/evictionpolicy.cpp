#include "evictionpolicy.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

using namespace std::chrono_literals;

constexpr double ThrottleRatioForLatency = 0.85;
constexpr double ThrottleRatioForThroughput = 1;
constexpr double UnthrottleRatioForLatency = 0.75;
constexpr double UnthrottleRatioForThroughput = 0.85;
constexpr int MeasurementsUntilThrottle = 2;
constexpr Duration EvictionDelay = 5s;
constexpr Duration MinimumUnthrottleDelay = 10s;
constexpr Duration MaximumUnthrottleDelay = 5min;
constexpr Duration PrematureUnthrottleTime = 60s; // a speed that has to be lowered within this time was raised too early
constexpr Duration SettlingTime = 1s; // time until measurements reflect an action

double throttleRatio(Favor favor)
{
    return favor == Favor::Latency ? ThrottleRatioForLatency : ThrottleRatioForThroughput;
}

} // namespace

double EvictionPolicy::placementLimit(Favor favor)
{
    return favor == Favor::Latency ? 0.75 : 0.9;
}

EvictionPolicy::Action
EvictionPolicy::observe(std::uint32_t worker, double latencyRatio, Favor favor, bool atMinimumSpeed, bool atFullSpeed, TimePoint measuredAt, TimePoint now)
{
    const bool high = latencyRatio >= throttleRatio(favor);
    if (!high && atFullSpeed) {
        const auto found = m_records.find(worker);
        if (found != m_records.end()) {
            found->second.consecutiveHighMeasurements = 0;
            found->second.overObjective = false;
        }
        return Action::None;
    }
    Record &record = m_records[worker];
    if (measuredAt < record.actedAt + SettlingTime) {
        return Action::None;
    }
    record.consecutiveHighMeasurements = high ? record.consecutiveHighMeasurements + 1 : 0;
    const bool overObjective = latencyRatio >= 1;
    if (overObjective && !record.overObjective) {
        record.overObjectiveSince = now;
    }
    record.overObjective = overObjective;
    const bool low = latencyRatio <= (favor == Favor::Latency ? UnthrottleRatioForLatency : UnthrottleRatioForThroughput);
    if (low && !record.low) {
        record.lowSince = now;
    }
    record.low = low;

    if (record.consecutiveHighMeasurements >= MeasurementsUntilThrottle && !atMinimumSpeed) {
        const bool premature = record.unthrottledAt != TimePoint{} && now - record.unthrottledAt < PrematureUnthrottleTime;
        record.unthrottleDelay = premature ? std::min(2 * record.unthrottleDelay, MaximumUnthrottleDelay) : MinimumUnthrottleDelay;
        return recordAction(record, Action::Throttle, now);
    }
    if (overObjective && atMinimumSpeed && now - record.overObjectiveSince >= EvictionDelay) {
        return recordAction(record, Action::Evict, now);
    }
    if (low && !atFullSpeed && now - record.lowSince >= record.unthrottleDelay) {
        record.unthrottledAt = now;
        return recordAction(record, Action::Unthrottle, now);
    }
    return Action::None;
}

EvictionPolicy::Action EvictionPolicy::recordAction(Record &record, Action action, TimePoint now)
{
    record.actedAt = now;
    record.consecutiveHighMeasurements = 0;
    record.overObjective = false;
    record.low = false;
    return action;
}

} // namespace Hyssop::Internal
