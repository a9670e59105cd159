#pragma once

#include <utils/clock.h>
#include <utils/resources.h>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::StandIn {

enum class Phase {
    Running,
    Throttled,
    Checkpointed,
    Stopped,
    Finished,
    Failed,
};

/// A task on the stand-in worker. The command "run MS" finishes after MS milliseconds of work, "fail MS" fails after MS
/// milliseconds of work, and "hang" never ends. Services ignore the command.
struct Task
{
    std::string jobId;
    int attempt = 0;
    bool service = false;
    bool stopsWithoutLease = true;
    bool acceptsCheckpoint = true;
    Resources declared;
    std::string command;
    std::string checkpoint; // milliseconds of work completed at the last checkpoint
    std::string address; // of a service
    std::string reason;
    Phase phase = Phase::Running;
    int speedPercent = 100;
    std::chrono::duration<double, std::milli> workDone{0};
    TimePoint startedAt;
    TimePoint endedAt;
};

struct WorkerOptions
{
    std::string name;
    std::string rack;
    Resources capacity;
};

/// State machine of a platform worker: one lease with an increasing epoch, and the tasks that run under it. The caller
/// passes the current time.
class WorkerModel
{
public:
    using TaskKey = std::pair<std::string, int>; // job id, attempt
    using ServiceStarter = std::function<std::string(const Task &)>; // returns the address of the new service
    using ServiceStopper = std::function<void(const Task &)>;

    WorkerModel(WorkerOptions options, TimePoint now);

    void setServiceHooks(ServiceStarter starter, ServiceStopper stopper);

    /// Advances the tasks to @p now and stops them if the lease has expired. Must be called before each request is handled,
    /// so that a worker process that was suspended until after its lease expired does no further work when it resumes.
    void advance(TimePoint now);

    boost::json::object renewLease(const boost::json::object &request, TimePoint now);
    boost::json::object start(const boost::json::object &request, TimePoint now);
    boost::json::object command(const std::string &verb, const boost::json::object &request, TimePoint now);

    /// Status in the format of the platform.
    boost::json::object status(TimePoint now) const;

    /// All attempts since the start, with start and end times in microseconds of the monotonic clock of the system.
    boost::json::object history() const;

    void setLeaving(bool leaving) { m_leaving = leaving; }
    bool leaving() const { return m_leaving; }
    void setFailEverything(bool failEverything) { m_failEverything = failEverything; }

private:
    Resources committed() const;
    void endTask(Task &task, Phase phase, TimePoint now, const std::string &reason = {});
    void advanceTask(Task &task, TimePoint now);

    WorkerOptions m_options;
    ServiceStarter m_serviceStarter;
    ServiceStopper m_serviceStopper;
    TimePoint m_startedAt;
    TimePoint m_advancedTo;
    TimePoint m_leaseUntil;
    std::string m_holder;
    std::int64_t m_epoch = -1;
    std::map<TaskKey, Task> m_tasks;
    std::map<std::string, int> m_highestAttempts;
    std::vector<Task> m_forgotten;
    std::int64_t m_overcommits = 0; // start requests rejected because they exceeded the capacity
    bool m_leaving = false;
    bool m_failEverything = false;
};

} // namespace Hyssop::StandIn
