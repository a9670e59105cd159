#include <workers/evictionmachine.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using std::chrono::milliseconds;
using std::chrono::seconds;

static TaskStatus taskIn(TaskState state)
{
    TaskStatus task;
    task.state = state;
    return task;
}

// Guards against a step that is skipped or against a task that is stopped before its checkpoint is durable.
Test(evictionmachine, stopsOnlyAfterCheckpoint)
{
    const TimePoint start;
    EvictionMachine machine({}, true, start);
    cr_assert(machine.dueCommand(start) == EvictionStep::Throttle);
    cr_assert(!machine.dueCommand(start + milliseconds(100)).has_value());
    machine.taskReported(taskIn(TaskState::Throttled), start + milliseconds(200));
    cr_assert(machine.dueCommand(start + milliseconds(200)) == EvictionStep::Checkpoint);
    machine.taskReported(taskIn(TaskState::Checkpointing), start + milliseconds(300));
    cr_assert(machine.step() == EvictionStep::Checkpoint);
    machine.taskReported(taskIn(TaskState::Checkpointed), start + seconds(1));
    cr_assert(machine.dueCommand(start + seconds(1)) == EvictionStep::Stop);
    machine.taskReported(taskIn(TaskState::Stopped), start + seconds(2));
    cr_assert(machine.step() == EvictionStep::Record);
    cr_assert(!machine.dueCommand(start + seconds(9)).has_value());
    machine.endRecorded(start + seconds(10));
    cr_assert(machine.step() == EvictionStep::Release);
}

// Guards against an eviction that hangs: a throttle without answer, a checkpoint that fails or never ends.
Test(evictionmachine, continuesAfterIncompleteSteps)
{
    const TimePoint start;
    EvictionMachine failing({}, true, start);
    cr_assert(failing.dueCommand(start + seconds(2)) == EvictionStep::Checkpoint);
    failing.taskReported(taskIn(TaskState::Checkpointing), start + seconds(3));
    failing.taskReported(taskIn(TaskState::Running), start + seconds(4));
    cr_assert(failing.step() == EvictionStep::Stop);

    EvictionMachine hanging({}, true, start);
    cr_assert(hanging.dueCommand(start + seconds(2)) == EvictionStep::Checkpoint);
    hanging.taskReported(taskIn(TaskState::Checkpointing), start + seconds(3));
    cr_assert(hanging.dueCommand(start + seconds(31)) == EvictionStep::Checkpoint);
    cr_assert(hanging.dueCommand(start + seconds(32)) == EvictionStep::Stop);

    EvictionMachine plain({}, false, start);
    plain.throttleConfirmed(start);
    cr_assert(plain.step() == EvictionStep::Stop);
}

// Guards against an eviction that keeps waiting for a task that has ended on its own.
Test(evictionmachine, acceptsTaskThatEnds)
{
    const TimePoint start;
    EvictionMachine machine({}, true, start);
    machine.taskReported(taskIn(TaskState::Finished), start);
    cr_assert(machine.step() == EvictionStep::Record);
    machine.endRecorded(start);
    cr_assert(machine.step() == EvictionStep::Release);
}
