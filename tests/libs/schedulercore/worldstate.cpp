#include "worldstate.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace Hyssop::Testing {

using std::chrono::milliseconds;

WorldState::WorldState(WorldOptions worldOptions)
    : options(std::move(worldOptions))
    , random(options.seed)
{
}

void WorldState::schedule(milliseconds eventTime, std::function<void()> event)
{
    m_events.emplace(std::max(eventTime, time), std::move(event));
}

void WorldState::runDueEvents()
{
    while (!m_events.empty() && m_events.begin()->first <= time) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
}

void WorldState::deliver(const std::string &scheduler, std::int64_t incarnation, std::function<void(SchedulerCore &)> input)
{
    SimulatedScheduler &target = schedulers.at(scheduler);
    const auto run = [&target, incarnation, input = std::move(input)] {
        if (target.core && target.incarnation == incarnation) {
            input(*target.core);
        }
    };
    if (target.isFrozen) {
        target.frozenInput.emplace_back(run);
        return;
    }
    run();
}

void WorldState::append(const std::string &domainName, const Wire::Record &record)
{
    SimulatedDomain &domain = domains.at(domainName);
    const auto offset = static_cast<std::int64_t>(domain.stream.size());
    const WallTime recordTime(std::chrono::duration_cast<WallTime::duration>(time));
    domain.stream.push_back({recordTime, record});
    const LedgerVerdict verdict = domain.ledger->apply({offset, 0}, recordTime, record);
    addTraceLine(domainName + " #" + std::to_string(offset) + " " + describe(record) + (verdict == LedgerVerdict::Accepted ? "" : " (void)"));
}

milliseconds WorldState::delay()
{
    std::uniform_int_distribution<std::int64_t> distribution(1, options.maximumDelay.count());
    return milliseconds(distribution(random));
}

bool WorldState::chance(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(random);
}

void WorldState::addTraceLine(const std::string &line)
{
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%9.3f ", static_cast<double>(time.count()) / 1000.0);
    trace.push_back(stamp + line);
}

void WorldState::reportViolation(const std::string &line)
{
    addTraceLine("VIOLATION " + line);
    violations.push_back(trace.back());
}

} // namespace Hyssop::Testing
