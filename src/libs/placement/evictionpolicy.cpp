#include "evictionpolicy.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

using namespace std::chrono_literals;

constexpr double HighPressureLatency = 0.85;
constexpr double HighPressureThroughput = 1;
constexpr double LowPressureLatency = 0.75;
constexpr double LowPressureThroughput = 0.85;
constexpr int HighMeasurements = 2;
constexpr Duration EvictAfter = 5s;
constexpr Duration ShortestRaiseDelay = 10s;
constexpr Duration LongestRaiseDelay = 5min;
constexpr Duration RelapseTime = 60s; // a level lowered this soon after it was raised was raised too early
constexpr Duration Settling = 1s; // time until an action shows in measurements

double highPressure(Favor favor)
{
    return favor == Favor::Latency ? HighPressureLatency : HighPressureThroughput;
}

} // namespace

double EvictionPolicy::placementLimit(Favor favor)
{
    return favor == Favor::Latency ? 0.75 : 0.9;
}

EvictionPolicy::Action
EvictionPolicy::observe(std::uint32_t worker, double pressure, Favor favor, bool lowest, bool restored, TimePoint measuredAt, TimePoint now)
{
    const bool high = pressure >= highPressure(favor);
    if (!high && restored) {
        const auto found = m_records.find(worker);
        if (found != m_records.end()) {
            found->second.highMeasurements = 0;
            found->second.over = false;
        }
        return Action::None;
    }
    Record &record = m_records[worker];
    if (measuredAt < record.actedAt + Settling) {
        return Action::None;
    }
    record.highMeasurements = high ? record.highMeasurements + 1 : 0;
    const bool over = pressure >= 1;
    if (over && !record.over) {
        record.overSince = now;
    }
    record.over = over;
    const bool calm = pressure <= (favor == Favor::Latency ? LowPressureLatency : LowPressureThroughput);
    if (calm && !record.calm) {
        record.calmSince = now;
    }
    record.calm = calm;

    if (record.highMeasurements >= HighMeasurements && !lowest) {
        const bool relapse = record.raisedAt != TimePoint{} && now - record.raisedAt < RelapseTime;
        record.raiseDelay = relapse ? std::min(2 * record.raiseDelay, LongestRaiseDelay) : ShortestRaiseDelay;
        return act(record, Action::Lower, now);
    }
    if (over && lowest && now - record.overSince >= EvictAfter) {
        return act(record, Action::Evict, now);
    }
    if (calm && !restored && now - record.calmSince >= record.raiseDelay) {
        record.raisedAt = now;
        return act(record, Action::Raise, now);
    }
    return Action::None;
}

EvictionPolicy::Action EvictionPolicy::act(Record &record, Action action, TimePoint now)
{
    record.actedAt = now;
    record.highMeasurements = 0;
    record.over = false;
    record.calm = false;
    return action;
}

} // namespace Hyssop::Internal
