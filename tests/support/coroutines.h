#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <chrono>
#include <exception>
#include <utility>

namespace Hyssop {

inline boost::asio::ip::tcp::endpoint anyLoopbackPort()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

/// Runs @p coroutine to completion and fails the test if it does not complete within 30 s.
inline void runToEnd(boost::asio::io_context &context, boost::asio::awaitable<void> coroutine)
{
    bool finished = false;
    boost::asio::co_spawn(context, std::move(coroutine), [&](const std::exception_ptr &failure) {
        finished = failure == nullptr;
        context.stop();
    });
    context.run_for(std::chrono::seconds(30));
    cr_assert(finished);
    context.restart();
}

inline boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds delay)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, delay);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace Hyssop
