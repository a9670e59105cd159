#include <node/detachedtask.h>
#include <support/coroutines.h>

#include <criterion/criterion.h>

#include <stdexcept>

using namespace Hyssop;

namespace asio = boost::asio;

namespace {

asio::awaitable<void> failAfterPause()
{
    co_await pauseFor(std::chrono::milliseconds(1));
    throw std::runtime_error("failed");
}

} // namespace

Test(detachedTask, anExceptionOfALoopLeavesTheEventLoop)
{
    asio::io_context context(1);
    asio::co_spawn(context, failAfterPause(), endProcessOnException);
    bool thrown = false;
    try {
        context.run_for(std::chrono::seconds(5));
    } catch (const std::runtime_error &) {
        thrown = true;
    }
    cr_assert(thrown);
}

Test(detachedTask, anExceptionOfACommandDoesNotEndTheOthers)
{
    asio::io_context context(1);
    bool finished = false;
    asio::co_spawn(context, failAfterPause(), logException);
    asio::co_spawn(context, pauseFor(std::chrono::milliseconds(5)), [&](const std::exception_ptr &) { finished = true; });
    context.run_for(std::chrono::seconds(5));
    cr_assert(finished);
}
