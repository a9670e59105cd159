#include "polledworkers.h"

#include <support/coroutines.h>

namespace Hyssop::Testing {

boost::asio::awaitable<CommandResult> PolledWorkers::stop(StopCommand command)
{
    ++stops;
    co_await pauseFor(stopTime);
    answeredStops.insert(command.task.job);
    co_return CommandNotSent{"no workers"};
}

} // namespace Hyssop::Testing
