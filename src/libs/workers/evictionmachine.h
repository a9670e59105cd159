#pragma once

#include "workerstatus.h"

#include <utils/clock.h>

#include <chrono>
#include <memory>
#include <optional>

namespace Hyssop {

enum class EvictionStep {
    Throttle, // slow the task down
    Checkpoint, // ask for a checkpoint and wait until it is durable
    Stop, // stop the task and wait until the worker reports that it no longer runs
    Record, // wait until the end of the attempt is durable
    Release, // done; the resources are free
};

struct EvictionOptions
{
    std::chrono::milliseconds throttleTimeout{2000}; // a throttle that is not confirmed does not delay the eviction further
    std::chrono::milliseconds checkpointTimeout{30000}; // after that the task stops with its previous checkpoint
    std::chrono::milliseconds repeatInterval{1000}; // before a command is sent again
};

namespace Internal {
class EvictionFlow;
}

/// Evicts one task in the steps throttle, checkpoint, stop, record and release. The state is not durable: a new owner
/// finds the attempt open and either adopts the task or records its end.
class EvictionMachine
{
public:
    EvictionMachine(EvictionOptions options, bool acceptsCheckpoint, TimePoint now);
    EvictionMachine(EvictionMachine &&other) noexcept;
    EvictionMachine &operator=(EvictionMachine &&other) noexcept;
    ~EvictionMachine();

    EvictionStep step() const;

    /// The worker reported the status @p task.
    void taskReported(const TaskStatus &task, TimePoint now);
    /// The end of the attempt was applied from the job stream.
    void endRecorded(TimePoint now);
    /// The worker confirmed the throttle command.
    void throttleConfirmed(TimePoint now);

    /// Returns the step whose command is to be sent now: Throttle, Checkpoint or Stop.
    std::optional<EvictionStep> dueCommand(TimePoint now);

private:
    void trackStepChange(EvictionStep previousStep, TimePoint now);

    EvictionOptions m_options;
    std::unique_ptr<Internal::EvictionFlow> m_flow;
    TimePoint m_enteredAt;
    std::optional<TimePoint> m_sentAt;
    bool m_checkpointStarted = false; // the worker reported that it was writing the checkpoint
};

} // namespace Hyssop
