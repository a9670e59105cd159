#pragma once

#include <schedulercore/schedulercore.h>
#include <utils/clock.h>
#include <workers/workerstatus.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Testing {

struct FakeTask
{
    TaskStatus status;
    Resources declared;
    bool stopsWithoutLease = true;
    double seconds = 0; // run time at full speed
    double speed = 1;
    double checkpointLeft = -1; // seconds until the checkpoint is durable; negative: none in progress
};

/// Simulates one worker of the platform: checks epoch and lease, runs tasks and keeps ended ones until they are
/// forgotten.
class FakeWorker
{
public:
    /// @p rate: seconds of the worker's clock in one second of simulated time.
    FakeWorker(std::string name, Resources capacity, double rate, std::chrono::milliseconds clockOffset);

    using EventHandler = std::function<void(const std::string &line)>;
    /// Called for each start that takes effect, with job id, attempt and checkpoint.
    using StartHandler = std::function<void(const std::string &jobId, int attempt, const std::string &checkpoint)>;

    void setHandlers(EventHandler onEvent, StartHandler onStart);
    /// Advances the worker's clock and its tasks by @p step of simulated time.
    void advance(std::chrono::milliseconds step);

    LeaseResult renew(const RenewLease &command);
    CommandOutcome execute(const SchedulerAction &command);

    const std::string &name() const { return m_name; }
    const Resources &capacity() const { return m_capacity; }
    const std::map<std::pair<std::string, int>, FakeTask> &tasks() const { return m_tasks; }
    std::chrono::milliseconds clock() const;
    Resources used() const;

    void setFailsTasks(bool fails) { m_failsTasks = fails; }
    void setFailsCheckpoints(bool fails) { m_failsCheckpoints = fails; }
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /// Loses all tasks, the lease and the epoch, and starts the clock at zero.
    void restart();
    int restarts() const { return m_restarts; }

    bool ignoresEpoch = false; // disables fencing, to show that the checks detect it
    bool ignoresRenewalDeadline = false; // disables the deadline of renewals, for the same reason

private:
    CommandOutcome start(const StartTask &command);
    FakeTask *running(const std::string &jobId, int attempt);
    bool leaseHeld(std::int64_t epoch) const;
    void advanceTask(FakeTask &task, double seconds);
    void stop(FakeTask &task, const char *why);

    std::string m_name;
    Resources m_capacity;
    double m_rate;
    double m_clockSeconds;
    std::int64_t m_epoch = -1;
    double m_leaseEnd = -1;
    int m_restarts = 0;
    bool m_failsTasks = false;
    bool m_failsCheckpoints = false;
    bool m_leaving = false;
    std::map<std::pair<std::string, int>, FakeTask> m_tasks;
    EventHandler m_onEvent;
    StartHandler m_onStart;
};

bool isActive(TaskState state);

} // namespace Hyssop::Testing
