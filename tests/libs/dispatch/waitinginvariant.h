#pragma once

#include "hyssop_types.h"

#include <ports/taskid.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>
#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Checks the platform's rule on accepted work that stops (LOST): a step whose turn has come, and each task of a serving step, has a run
/// while room for it is free. It knows what really runs on the workers and nothing of what a dispatcher believes or reports.
///
/// A simulation observes at intervals. The bounds are those of the rule.
class WaitingInvariant
{
public:
    static constexpr std::chrono::milliseconds MaximumWait{3000};
    static constexpr std::chrono::milliseconds CalmTime{4000}; // without a disturbance, before a wait counts
    static constexpr std::chrono::milliseconds ServingGraceTime{6000}; // from the last run of a serving task
    static constexpr std::chrono::milliseconds ObservationInterval{100};

    /// A worker that can run tasks, and what its runs use.
    struct Worker
    {
        WorkerInfo info;
        Resources reserved; // by runs that are not best-effort ones
        std::int64_t bestEffortMilliCores = 0;

        /// Adds a run of a task of @p step.
        void addRun(const Wire::TaskStep &step);
    };

    /// A step whose turn has come and of which no task runs, or a task without a run of a serving step.
    struct Waiting
    {
        TaskId task; // of a step that does not serve, one that has not ended
        const Wire::TaskStep *step = nullptr;
        TimePoint lastRunEndedAt{}; // of a serving task
        std::map<std::string, int> runsByWorker; // of the step
    };

    /// Notes a disturbance. Waits count from CalmTime after it.
    void noteDisturbance(TimePoint now);

    bool isObservationDue(TimePoint now) const { return now >= m_nextObservation; }

    /// Observes all that waits, and the workers that can run tasks.
    void observe(const std::vector<Worker> &workers, const std::vector<Waiting> &waiting, TimePoint now);

    /// Describes the waits that exceeded the bound, each once.
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct Wait
    {
        TimePoint since{}; // beside room
        TimePoint observedAt{};
        bool isReported = false;
    };

    TimePoint m_calmSince{};
    TimePoint m_nextObservation{};
    std::map<TaskId, Wait> m_waits;
    std::vector<std::string> m_violations;
};

} // namespace Hyssop::Testing
