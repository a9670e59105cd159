#include <dispatch/stepexecution.h>

#include <criterion/criterion.h>

#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

int chance(std::mt19937 &random, int maximum)
{
    return static_cast<int>(random() % static_cast<std::uint32_t>(maximum));
}

void changeTask(StepExecution &step, std::mt19937 &random)
{
    TaskExecution &task = step.tasks[static_cast<std::size_t>(chance(random, static_cast<int>(step.tasks.size())))];
    switch (chance(random, 5)) {
    case 0:
        step.setRun(task, task.run + 1);
        step.setPhase(task, TaskPhase::Assigned);
        return;
    case 1:
        step.setFailures(task, task.failures + 1);
        task.notBefore = Begin + std::chrono::milliseconds(chance(random, 1000));
        step.setPhase(task, TaskPhase::Pending);
        return;
    case 2:
        step.setPhase(task, TaskPhase::Done);
        return;
    case 3:
        step.setPhase(task, TaskPhase::Stopping);
        return;
    default:
        step.setPhase(task, TaskPhase::Pending);
        return;
    }
}

} // namespace

Test(stepExecution, theCountersAgreeWithTheTasksAfterAnyChanges)
{
    std::mt19937 random(1);
    for (int round = 0; round < 200; ++round) {
        StepExecution step;
        step.addTasks(5);
        for (int change = 0; change < 50; ++change) {
            changeTask(step, random);
            cr_assert(step.isConsistent(), "round %d, change %d", round, change);
        }
    }
}

Test(stepExecution, aTaskThatIsHeldBackIsNotPendingBeforeItsTime)
{
    StepExecution step;
    step.addTasks(1);
    step.tasks[0].notBefore = Begin + 1s;
    step.setPhase(step.tasks[0], TaskPhase::Pending);
    cr_assert_not(step.hasPendingTask(Begin));
    cr_assert(step.hasPendingTask(Begin + 1s));
}

Test(stepExecution, aTaskThatIsHeldBackDoesNotHoldBackTheOthers)
{
    StepExecution step;
    step.addTasks(2);
    step.tasks[0].notBefore = Begin + 1s;
    step.setPhase(step.tasks[0], TaskPhase::Pending);
    cr_assert(step.hasPendingTask(Begin));
}
