#pragma once

#include "placementengine.h"
#include "placementstate.h"
#include "preemptor.h"
#include "workerselector.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// One round of decisions: places pending tasks, preempts, throttles, evicts and rejects.
class PlacementRound
{
public:
    PlacementRound(PlacementState &state, TimePoint now, std::size_t maximumPlacements);

    std::vector<PlacementDecision> run();

private:
    enum class PlacementOutcome : std::uint8_t {
        Placed,
        Rejected,
        NoCapacity,
        Unsuitable,
        OverQuota,
        OverBatchShare, // the customer's batch tasks have reached their share of the workers
        Unplaceable, // at present larger than any worker or than the team's quota
    };

    void serve(QueueClass queueClass);
    /// Tries to place the first tasks of a team. Returns true if one was placed or rejected.
    bool serveTeam(std::uint32_t team, QueueClass queueClass);
    PlacementOutcome tryPlace(std::uint32_t task);
    PlacementOutcome deferOrReject(std::uint32_t task, const std::string &reason);
    bool place(std::uint32_t task, std::uint32_t worker, const Resources &amount);
    bool overBatchShare(const TaskRecord &task, const Resources &amount);
    bool isKnownUnavailable(const Resources &amount) const;

    void serveHeadTask();
    void reserveWorkerFor(std::uint32_t task);

    void preemptFor(const std::vector<std::uint32_t> &unplacedTasks);
    void evict(std::uint32_t task, std::string reason);

    void rejectFailedJob(std::uint32_t task);
    void applyThrottleActions();
    void throttleBatch(std::uint32_t worker);
    void unthrottleBatch(std::uint32_t worker);
    void setSpeed(std::uint32_t task, int speedPercent);

    PlacementState &m_state;
    WorkerSelector m_selector;
    Preemptor m_preemptor;
    TimePoint m_now;
    std::size_t m_remainingPlacements;
    std::vector<PlacementDecision> m_decisions;
    std::vector<Resources> m_unavailableAmounts; // fit on no worker in this round
    std::vector<std::uint32_t> m_unplacedTasks; // urgent and service tasks that were not placed
    std::vector<std::uint32_t> m_customersOverShare; // customers whose batch tasks have reached their share
    std::size_t m_preemptionCount = 0;
};

} // namespace Hyssop::Internal
