#pragma once

#include "commandresults.h"

#include <boost/asio/awaitable.hpp>

namespace Hyssop {

/// Sends orders to workers. All calls end within a time limit.
class WorkerApi
{
public:
    virtual ~WorkerApi() = default;

    virtual boost::asio::awaitable<CommandResult> start(StartCommand order) = 0;
    virtual boost::asio::awaitable<CommandResult> stop(StopCommand order) = 0;
    virtual boost::asio::awaitable<CommandResult> throttle(ThrottleCommand order) = 0;
    virtual boost::asio::awaitable<PollResult> poll(PollCommand order) = 0;
};

} // namespace Hyssop
