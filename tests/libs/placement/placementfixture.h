#pragma once

#include <placement/placementengine.h>

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Hyssop {

inline Resources size(std::int64_t cores, std::int64_t gigabytes, int slots = 1)
{
    return Resources{cores * 1000, gigabytes * 1'000'000'000, 0, slots};
}

inline Contract contractOf(std::vector<TeamContract> teams, Favor favor = Favor::Latency)
{
    Contract contract;
    contract.customer = "cascadia";
    contract.favor = favor;
    contract.evictionBudget = 1;
    contract.teams = std::move(teams);
    ServiceContract service;
    service.name = "sales";
    service.latencyObjective = std::chrono::milliseconds(100);
    contract.services.push_back(service);
    return contract;
}

inline TeamContract teamOf(const std::string &name, double share = 1, Resources quota = {}, bool urgent = false)
{
    TeamContract team;
    team.name = name;
    team.share = share;
    team.quota = quota;
    team.urgent = urgent;
    return team;
}

inline PendingTask batchTask(const std::string &jobId, const Resources &declared, const std::string &team = "badges")
{
    PendingTask task;
    task.jobId = jobId;
    task.customer = "cascadia";
    task.team = team;
    task.taskName = "print";
    task.declared = declared;
    task.declaredRunTime = std::chrono::minutes(10);
    return task;
}

inline PendingTask serviceTask(const std::string &jobId, const Resources &declared)
{
    PendingTask task = batchTask(jobId, declared, "");
    task.taskName = "sales";
    task.service = "sales";
    return task;
}

/// A placement engine with a manual clock. Records the effects of all decisions so far.
struct PlacementFixture
{
    explicit PlacementFixture(const PlacementOptions &options = PlacementOptions())
        : engine(options)
    {
    }

    void addWorkers(int count, const Resources &capacity)
    {
        for (int i = 0; i < count; ++i) {
            engine.updateWorker(WorkerOffer{"w" + std::to_string(i), "r" + std::to_string(i / 8), capacity, true}, now);
        }
    }

    std::vector<PlacementDecision> decide(std::size_t maximum = 1000)
    {
        auto decisions = engine.decide(now, maximum);
        for (const PlacementDecision &decision : decisions) {
            if (const auto *placed = std::get_if<PlaceTask>(&decision)) {
                running[placed->jobId] = placed->worker;
                placedAt[placed->jobId] = now;
            } else if (const auto *evicted = std::get_if<EvictTask>(&decision)) {
                evictions[evicted->jobId] = evicted->reason;
            } else if (const auto *rejected = std::get_if<RejectJob>(&decision)) {
                rejections[rejected->jobId] = rejected->reason;
            } else if (const auto *throttle = std::get_if<ThrottleTask>(&decision)) {
                speedPercents[throttle->jobId] = throttle->speedPercent;
                ++throttleCount;
            }
        }
        return decisions;
    }

    void end(const std::string &jobId)
    {
        engine.release(jobId);
        running.erase(jobId);
    }

    void fail(const std::string &jobId)
    {
        engine.reportFailure(jobId, running.at(jobId), now);
        end(jobId);
    }

    void succeed(const std::string &jobId)
    {
        engine.reportSuccess(jobId, running.at(jobId), now);
        end(jobId);
    }

    void report(const std::string &jobId, const Resources &usage, double progress, bool checkpoint, double latencyUs = 0)
    {
        engine.reportUsage(UsageSample{jobId, usage, std::chrono::milliseconds(500), progress, checkpoint, latencyUs}, now);
    }

    void advance(Duration step) { now += step; }

    PlacementEngine engine;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::map<std::string, std::string> running; // worker by job
    std::map<std::string, TimePoint> placedAt;
    std::map<std::string, std::string> evictions;
    std::map<std::string, std::string> rejections;
    std::map<std::string, int> speedPercents;
    int throttleCount = 0;
};

} // namespace Hyssop
