#pragma once

#include "commandresults.h"

#include <boost/asio/awaitable.hpp>

namespace Hyssop {

/// Interface for sending commands to workers. Every call completes within a timeout.
class WorkerApi
{
public:
    virtual ~WorkerApi() = default;

    virtual boost::asio::awaitable<CommandResult> start(StartCommand command) = 0;
    virtual boost::asio::awaitable<CommandResult> stop(StopCommand command) = 0;
    virtual boost::asio::awaitable<CommandResult> throttle(ThrottleCommand command) = 0;
    virtual boost::asio::awaitable<PollResult> poll(PollCommand command) = 0;
};

} // namespace Hyssop
