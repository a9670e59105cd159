#pragma once

namespace Hyssop {

namespace Wire {
class TaskStep;
}

struct ReportedRun;
struct RunProfile;
struct TaskExecution;

/// A run in a report of a worker, with what the owner knows about it. Valid while the report is processed.
struct ListedRun
{
    const ReportedRun *report = nullptr;
    TaskExecution *task = nullptr;
    const Wire::TaskStep *step = nullptr;
    RunProfile *profile = nullptr; // of the open run of the task on this worker
};

} // namespace Hyssop
