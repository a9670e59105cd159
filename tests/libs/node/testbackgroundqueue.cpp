#include <node/backgroundqueue.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t ManyHandlers = 1000;

struct QueuedContext
{
    asio::io_context context{1};
    BackgroundQueue &queue = asio::use_service<BackgroundQueue>(context);
    asio::any_io_executor executor = queue.executor();
};

asio::awaitable<void> sleepAndSet(bool &isDone)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, 1ms);
    co_await timer.async_wait(asio::use_awaitable);
    isDone = true;
}

} // namespace

// Guards against urgent events that wait for all background work.
Test(backgroundQueue, anotherEventWaitsForOneTurnAtMost)
{
    QueuedContext queued;
    std::size_t ran = 0;
    for (std::size_t count = 0; count < ManyHandlers; ++count) {
        asio::post(queued.executor, [&] { ++ran; });
    }
    std::size_t ranBefore = ManyHandlers;
    asio::post(queued.context, [&] { ranBefore = ran; });
    queued.context.run();
    cr_expect_leq(ranBefore, BackgroundQueue::HandlersPerTurn);
    cr_expect_eq(ran, ManyHandlers);
}

// Guards against background work that never runs beside a busy event loop.
Test(backgroundQueue, handlersRunBesideOtherEvents)
{
    QueuedContext queued;
    std::size_t ran = 0;
    for (std::size_t count = 0; count < ManyHandlers; ++count) {
        asio::post(queued.executor, [&] { ++ran; });
    }
    std::size_t turns = 0;
    const std::function<void()> postAgain = [&] {
        if (ran < ManyHandlers && ++turns < 10 * ManyHandlers) {
            asio::post(queued.context, postAgain);
        }
    };
    postAgain();
    queued.context.run();
    cr_expect_leq(turns, 2 * ManyHandlers / BackgroundQueue::HandlersPerTurn);
    cr_expect_eq(ran, ManyHandlers);
}

// Guards against coroutines that leave the background after their first wait.
Test(backgroundQueue, coroutinesResumeInTheBackground)
{
    QueuedContext queued;
    bool isDone = false;
    asio::co_spawn(queued.executor, sleepAndSet(isDone), asio::detached);
    queued.context.run_one(); // the coroutine begins to sleep
    while (queued.queue.size() == 0 && !isDone) {
        queued.context.run_one();
    }
    cr_expect_not(isDone);
    queued.context.run();
    cr_expect(isDone);
}

// Guards against handlers that are destroyed twice or never if the process ends while they wait.
Test(backgroundQueue, handlersThatDidNotRunAreDestroyedWithTheContext)
{
    const auto owned = std::make_shared<int>();
    bool isDone = false;
    {
        QueuedContext queued;
        asio::post(queued.executor, [owned] {});
        asio::co_spawn(queued.executor, sleepAndSet(isDone), asio::detached);
        cr_assert_eq(owned.use_count(), 2);
    }
    cr_expect_eq(owned.use_count(), 1);
    cr_expect_not(isDone);
}
