#include "evictionmachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <type_traits>

namespace Hyssop {

namespace Internal {

namespace Msm = boost::msm::front;

struct ThrottleConfirmed
{
};
struct CheckpointDurable
{
};
struct CheckpointFailed
{
};
struct StepTimedOut
{
};
struct TaskStopped
{
};
struct EndRecorded
{
};

struct EvictionFront : Msm::state_machine_def<EvictionFront>
{
    struct Throttling : Msm::state<>
    {
    };
    struct Checkpointing : Msm::state<>
    {
    };
    struct Stopping : Msm::state<>
    {
    };
    struct Recording : Msm::state<>
    {
    };
    struct Released : Msm::state<>
    {
    };

    struct NeedsCheckpoint
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return machine.acceptsCheckpoint;
        }
    };
    struct NeedsNoCheckpoint
    {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event &, Machine &machine, Source &, Target &) const
        {
            return !machine.acceptsCheckpoint;
        }
    };

    using initial_state = Throttling;
    template<typename Source, typename Event, typename Target, typename Guard = Msm::none>
    using Row = Msm::Row<Source, Event, Target, Msm::none, Guard>;

    struct Transitions : boost::mpl::vector<Row<Throttling, ThrottleConfirmed, Checkpointing, NeedsCheckpoint>,
                                            Row<Throttling, ThrottleConfirmed, Stopping, NeedsNoCheckpoint>,
                                            Row<Throttling, StepTimedOut, Checkpointing, NeedsCheckpoint>,
                                            Row<Throttling, StepTimedOut, Stopping, NeedsNoCheckpoint>,
                                            Row<Checkpointing, CheckpointDurable, Stopping>,
                                            Row<Checkpointing, CheckpointFailed, Stopping>,
                                            Row<Checkpointing, StepTimedOut, Stopping>,
                                            Row<Throttling, TaskStopped, Recording>,
                                            Row<Checkpointing, TaskStopped, Recording>,
                                            Row<Stopping, TaskStopped, Recording>,
                                            Row<Throttling, EndRecorded, Released>,
                                            Row<Checkpointing, EndRecorded, Released>,
                                            Row<Stopping, EndRecorded, Released>,
                                            Row<Recording, EndRecorded, Released>>
    {
    };

    using transition_table = Transitions; // the name that MSM looks up

    // Events that do not apply to the current step come from late or repeated answers.
    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    bool acceptsCheckpoint = true;
};

class EvictionFlow : public boost::msm::back::state_machine<EvictionFront>
{
};

} // namespace Internal

EvictionMachine::EvictionMachine(EvictionOptions options, bool acceptsCheckpoint, TimePoint now)
    : m_options(options)
    , m_flow(std::make_unique<Internal::EvictionFlow>())
    , m_enteredAt(now)
{
    m_flow->acceptsCheckpoint = acceptsCheckpoint;
    m_flow->start();
}

EvictionMachine::EvictionMachine(EvictionMachine &&other) noexcept = default;
EvictionMachine &EvictionMachine::operator=(EvictionMachine &&other) noexcept = default;
EvictionMachine::~EvictionMachine() = default;

EvictionStep EvictionMachine::step() const
{
    // MSM numbers the states in the order in which the transition table first names them as a source, then as a target.
    return static_cast<EvictionStep>(m_flow->current_state()[0]);
}

void EvictionMachine::taskReported(const TaskStatus &task, TimePoint now)
{
    const EvictionStep previousStep = step();
    switch (task.state) {
    case TaskState::Running:
    case TaskState::Throttled:
        if (task.state == TaskState::Throttled) {
            m_flow->process_event(Internal::ThrottleConfirmed());
        }
        if (m_checkpointStarted) {
            // The worker abandoned the checkpoint; the task stops with its previous one.
            m_flow->process_event(Internal::CheckpointFailed());
        }
        break;
    case TaskState::Checkpointing:
        m_checkpointStarted = previousStep == EvictionStep::Checkpoint;
        break;
    case TaskState::Checkpointed:
        m_flow->process_event(Internal::CheckpointDurable());
        break;
    case TaskState::Stopped:
    case TaskState::Finished:
    case TaskState::Failed:
        m_flow->process_event(Internal::TaskStopped());
        break;
    }
    trackStepChange(previousStep, now);
}

void EvictionMachine::endRecorded(TimePoint now)
{
    const EvictionStep previousStep = step();
    m_flow->process_event(Internal::EndRecorded());
    trackStepChange(previousStep, now);
}

void EvictionMachine::throttleConfirmed(TimePoint now)
{
    const EvictionStep previousStep = step();
    m_flow->process_event(Internal::ThrottleConfirmed());
    trackStepChange(previousStep, now);
}

std::optional<EvictionStep> EvictionMachine::dueCommand(TimePoint now)
{
    const EvictionStep previousStep = step();
    const bool throttleTimedOut = previousStep == EvictionStep::Throttle && now - m_enteredAt >= m_options.throttleTimeout;
    const bool checkpointTimedOut = previousStep == EvictionStep::Checkpoint && now - m_enteredAt >= m_options.checkpointTimeout;
    if (throttleTimedOut || checkpointTimedOut) {
        m_flow->process_event(Internal::StepTimedOut());
        trackStepChange(previousStep, now);
    }
    const bool sends = step() == EvictionStep::Throttle || step() == EvictionStep::Checkpoint || step() == EvictionStep::Stop;
    if (!sends || (m_sentAt && now - *m_sentAt < m_options.repeatInterval)) {
        return std::nullopt;
    }
    m_sentAt = now;
    return step();
}

void EvictionMachine::trackStepChange(EvictionStep previousStep, TimePoint now)
{
    if (step() == previousStep) {
        return;
    }
    m_enteredAt = now;
    m_sentAt.reset();
}

} // namespace Hyssop
