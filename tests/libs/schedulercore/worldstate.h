#pragma once

#include "fakelog.h"
#include "fakeworker.h"
#include "links.h"
#include "worldoptions.h"

#include <contract/contract.h>
#include <jobs/jobledger.h>
#include <schedulercore/schedulercore.h>
#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Hyssop::Testing {

struct SimulatedScheduler
{
    std::string name;
    std::string domain;
    std::unique_ptr<SchedulerCore> core;
    std::int64_t incarnation = 0;
    bool isFrozen = false;
    bool wasOwner = false;
    std::size_t position = 0; // next offset to read
    std::chrono::milliseconds nextRead{0};
    std::chrono::milliseconds lastAppendAt{0};
    std::deque<std::function<void()>> frozenInput;
};

struct SimulatedDomain
{
    std::vector<FakeRecord> stream;
    std::unique_ptr<JobLedger> ledger; // of an observer that sees every record at once
    bool inService = true;
    std::chrono::milliseconds changedAt{0};
    std::vector<std::string> workers;
};

/// State of a World: virtual time with the events to come, processes, streams and faults.
class WorldState
{
public:
    explicit WorldState(WorldOptions worldOptions);

    TimePoint now() const { return TimePoint(time); }
    void schedule(std::chrono::milliseconds eventTime, std::function<void()> event);
    void runDueEvents();
    /// Passes @p input to the core of @p scheduler unless the process has been replaced. A frozen one gets it later.
    void deliver(const std::string &scheduler, std::int64_t incarnation, std::function<void(SchedulerCore &)> input);
    void append(const std::string &domain, const Wire::Record &record);

    /// Random delay of one message.
    std::chrono::milliseconds delay();
    bool chance(double share);

    void addTraceLine(const std::string &line);
    void reportViolation(const std::string &line);

    WorldOptions options;
    std::mt19937_64 random;
    std::chrono::milliseconds time{1000};
    std::map<std::string, SimulatedScheduler> schedulers;
    std::map<std::string, std::unique_ptr<FakeWorker>> workers;
    std::map<std::string, SimulatedDomain> domains;
    std::map<std::string, Contract> contracts;
    Links links;
    bool logUp = true;
    std::map<std::string, std::chrono::milliseconds> startDelays; // by worker
    std::vector<std::string> trace;
    std::vector<std::string> violations;

private:
    std::multimap<std::chrono::milliseconds, std::function<void()>> m_events;
};

} // namespace Hyssop::Testing
