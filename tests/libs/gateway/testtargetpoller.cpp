#include "gatewayfixture.h"

#include <gateway/targetpoller.h>
#include <utils/endpoint.h>
#include <wire/rpcclient.h>
#include <wire/rpcserver.h>

#include <boost/asio/co_spawn.hpp>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Scheduler that publishes the targets that the test sets.
struct FakeScheduler
{
    std::int64_t version = 1;
    std::vector<Wire::Target> targets;
    int changedReplies = 0;
    std::unique_ptr<RpcServer> server;
};

struct PollerFixture
{
    asio::io_context context;
    MetricsRegistry metrics;
    RpcClient client{context.get_executor()};
    FakeScheduler schedulers[2];
    std::unique_ptr<TargetPoller> poller;
    std::vector<std::vector<Wire::Target>> published;
};

} // namespace

static asio::awaitable<Wire::Message> replyTargets(FakeScheduler &scheduler, Wire::Message request)
{
    Wire::TargetsReply reply;
    reply.version = scheduler.version;
    reply.changed = request.targetsRequest.knownVersion != scheduler.version;
    if (reply.changed) {
        reply.targets = scheduler.targets;
        ++scheduler.changedReplies;
    }
    Wire::Message message;
    message.__set_targetsReply(reply);
    co_return message;
}

static void startScheduler(PollerFixture &fixture, FakeScheduler &scheduler, asio::ip::tcp::endpoint endpoint)
{
    auto handler = [&scheduler](const Wire::Message &request) { return replyTargets(scheduler, request); };
    scheduler.server = std::make_unique<RpcServer>(fixture.context.get_executor(), endpoint, handler);
    scheduler.server->start();
}

static std::vector<Wire::Target> targetsNamed(const std::string &worker)
{
    Wire::Target target;
    target.worker = worker;
    return {target};
}

static asio::awaitable<void> checkPublisher(PollerFixture &fixture)
{
    FakeScheduler &owner = fixture.schedulers[0];
    FakeScheduler &standby = fixture.schedulers[1];
    owner.targets = targetsNamed("a");
    const std::vector<std::string> addresses{formatEndpoint(owner.server->localEndpoint()), formatEndpoint(standby.server->localEndpoint())};
    fixture.poller = std::make_unique<TargetPoller>(fixture.context.get_executor(), fixture.client, fixture.metrics, addresses);
    fixture.poller->start(milliseconds(10), [&fixture](const std::vector<Wire::Target> &targets) { fixture.published.push_back(targets); });
    co_await pauseFor(milliseconds(100));
    cr_assert_eq(fixture.published.size(), 1);
    cr_assert_str_eq(fixture.published[0][0].worker.c_str(), "a");
    cr_assert_eq(owner.changedReplies, 1);
    owner.targets = targetsNamed("b");
    owner.version = 2;
    co_await pauseFor(milliseconds(100));
    cr_assert_eq(fixture.published.size(), 2);
    // The owner fails: the targets stay until the next owner publishes, although the standby replies.
    owner.server->stop();
    standby.version = 7;
    co_await pauseFor(milliseconds(100));
    cr_assert_eq(fixture.published.size(), 2);
    standby.version = 8;
    standby.targets = targetsNamed("c");
    co_await pauseFor(milliseconds(100));
    cr_assert_eq(fixture.published.size(), 3);
    cr_assert_str_eq(fixture.published[2][0].worker.c_str(), "c");
    standby.version = 9;
    standby.targets.clear();
    co_await pauseFor(milliseconds(4000));
    cr_assert_eq(fixture.published.size(), 4);
    cr_assert(fixture.published[3].empty());
    fixture.poller->stop();
    standby.server->stop();
}

static void runPoller(PollerFixture &fixture, asio::awaitable<void> coroutine)
{
    bool finished = false;
    asio::co_spawn(fixture.context, std::move(coroutine), [&](const std::exception_ptr &failure) { finished = failure == nullptr; });
    fixture.context.run_for(std::chrono::seconds(10));
    cr_assert(finished);
}

// Guards against an empty list of a standby that removes all targets, and against unchanged lists that are sent again.
Test(targetpoller, followsTheOwner)
{
    PollerFixture fixture;
    const asio::ip::tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    startScheduler(fixture, fixture.schedulers[0], anyPort);
    startScheduler(fixture, fixture.schedulers[1], anyPort);
    runPoller(fixture, checkPublisher(fixture));
}
