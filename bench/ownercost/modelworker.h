#pragma once

#include <ports/commandresults.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop::Bench {

/// A worker that never fails: it runs what it is told to, and lists the ends that are not acknowledged.
class ModelWorker
{
public:
    ModelWorker(WorkerInfo info, TimePoint startedAt);

    /// Begins a run that ends at @p endsAt, or never.
    CommandResult start(const StartCommand &command, std::optional<TimePoint> endsAt, TimePoint now);
    CommandResult stop(const StopCommand &command, TimePoint now);

    /// Acknowledges ends, and returns when the response to @p poll, which arrives at @p now, is sent.
    TimePoint beginPoll(const PollCommand &poll, TimePoint now);

    /// Returns the response at @p now.
    WorkerReport report(TimePoint now);

    const WorkerInfo &info() const { return m_info; }

private:
    struct Run
    {
        int run = 0;
        TimePoint startedAt{};
        std::optional<TimePoint> endsAt;
    };

    void advance(TimePoint now);
    void end(const TaskId &task, int run, RunEndReason reason);
    WorkerTime clock(TimePoint now) const;
    ReportedRun reported(const TaskId &task, const Run &run, TimePoint now) const;

    WorkerInfo m_info;
    TimePoint m_startedAt;
    std::map<TaskId, Run> m_runs;
    std::vector<ReportedRunEnd> m_ends;
    std::int64_t m_newestEnd = 0;
};

} // namespace Hyssop::Bench
