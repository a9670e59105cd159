#pragma once

#include "orderanswers.h"

#include <boost/asio/awaitable.hpp>

namespace Hyssop {

/// Sends orders to workers. All calls end within a time limit.
class WorkerFleet
{
public:
    virtual ~WorkerFleet() = default;

    virtual boost::asio::awaitable<OrderAnswer> start(StartOrder order) = 0;
    virtual boost::asio::awaitable<OrderAnswer> stop(StopOrder order) = 0;
    virtual boost::asio::awaitable<OrderAnswer> pace(PaceOrder order) = 0;
    virtual boost::asio::awaitable<PollAnswer> poll(PollOrder order) = 0;
};

} // namespace Hyssop
