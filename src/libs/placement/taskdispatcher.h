#pragma once

#include "placementengine.h"
#include "placementstate.h"
#include "preemptor.h"
#include "workerselector.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// One round of decisions: serves the queue, preempts, throttles, evicts and rejects.
class TaskDispatcher
{
public:
    TaskDispatcher(PlacementState &state, TimePoint now, std::size_t maximumPlacements);

    std::vector<PlacementDecision> run();

private:
    enum class Attempt : std::uint8_t {
        Placed,
        Rejected,
        NoRoom,
        Unsuitable,
        OverQuota,
        OverShare, // batch of the customer has reached its share of the workers
        Unplaceable, // larger than any worker or than the team's quota, for now
    };

    void serve(QueueClass queueClass);
    /// Tries the first tasks of a team; returns true if one was placed or rejected.
    bool serveTeam(std::uint32_t team, QueueClass queueClass);
    Attempt attempt(std::uint32_t task);
    Attempt waitUnplaceable(std::uint32_t task, const std::string &reason);
    bool place(std::uint32_t task, std::uint32_t worker, const Resources &amount);
    bool overBatchShare(const TaskRecord &task, const Resources &amount);
    bool knownNotToFit(const Resources &amount) const;

    void serveHead();
    void holdWorkerFor(std::uint32_t task);

    void preemptFor(const std::vector<std::uint32_t> &waiting);
    void evict(std::uint32_t task, std::string reason);

    void rejectFailedJob(std::uint32_t task);
    void relieveWorkers();
    void lowerBatch(std::uint32_t worker);
    void raiseBatch(std::uint32_t worker);
    void setLevel(std::uint32_t task, int level);

    PlacementState &m_state;
    WorkerSelector m_selector;
    Preemptor m_preemptor;
    TimePoint m_now;
    std::size_t m_remaining;
    std::vector<PlacementDecision> m_decisions;
    std::vector<Resources> m_notFitting; // amounts for which no worker had room in this round
    std::vector<std::uint32_t> m_waiting; // urgent and service tasks without room
    std::vector<std::uint32_t> m_shareReached; // customers
    std::size_t m_preemptions = 0;
};

} // namespace Hyssop::Internal
