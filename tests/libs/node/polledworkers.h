#pragma once

#include <ports/workerapi.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>

namespace Hyssop::Testing {

/// Collects the ids of the workers that were polled. Fails every call unless it has a report.
class PolledWorkers : public WorkerApi
{
public:
    boost::asio::awaitable<CommandResult> start(StartCommand) override { co_return CommandNotSent{"no workers"}; }
    boost::asio::awaitable<CommandResult> stop(StopCommand command) override;
    boost::asio::awaitable<CommandResult> throttle(ThrottleCommand) override { co_return CommandNotSent{"no workers"}; }
    boost::asio::awaitable<PollResult> poll(PollCommand command) override
    {
        ids.insert(command.worker.id);
        if (report) {
            co_return *report;
        }
        co_return CommandNotSent{"no workers"};
    }

    std::set<std::string> ids;
    std::optional<WorkerReport> report;
    std::chrono::milliseconds stopTime{0};
    std::set<std::string> answeredStops; // jobs
    int stops = 0;
};

} // namespace Hyssop::Testing
