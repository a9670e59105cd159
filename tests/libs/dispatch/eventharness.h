#pragma once

#include "hyssop_types.h"

#include <dispatch/dispatcher.h>

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace Hyssop::Testing {

/// A dispatcher with the worker "w" that collects the log events and commands of the dispatcher. The test responds to the
/// commands itself.
class EventHarness
{
public:
    /// Begins a term with the job "j" of @p tasks long tasks.
    explicit EventHarness(int tasks = 1, bool longRunning = false);

    /// Advances the dispatcher by @p passed in short steps. Polls are answered if @p answersPolls, otherwise they fail.
    void advance(Duration passed, bool answersPolls = true);

    /// Advances until all tasks have a start command, and answers these.
    void startAllTasks();

    WorkerInfo worker() const;
    WorkerTime clock() const;

    /// Returns the actions of one type, in their order.
    template<typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> result;
        for (const DispatchAction &action : actions) {
            if (const auto *typed = std::get_if<Action>(&action)) {
                result.push_back(*typed);
            }
        }
        return result;
    }

    Dispatcher dispatcher{DispatchLimits()};
    TimePoint now{std::chrono::seconds(1000)};
    TimePoint clockBegin{now - std::chrono::seconds(5)}; // the clock of the worker counts from then
    std::vector<DispatchAction> actions;
    std::vector<ReportedRun> runs; // in the next reports of the worker
    std::vector<ReportedRunEnd> ends; // in the next reports of the worker
    std::size_t malformedRuns = 0; // in the next reports of the worker
    bool makesProgress = true;
    bool readsWorkers = true; // the registrations of the workers are read
    bool holdsPolls = false; // polls are neither answered nor do they fail until this is reset
    std::function<void()> beforeRecordsStored;
    std::chrono::milliseconds processStartedAt{0}; // in the next reports of the worker
    PollResult pollFailure = CommandUndetermined{"no response"};

private:
    void step();
    void answerPoll();

    int m_tasks;
    std::optional<PollCommand> m_poll; // not answered yet
    TimePoint m_pollSentAt{};
};

} // namespace Hyssop::Testing
