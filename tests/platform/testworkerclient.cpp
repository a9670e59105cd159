#include <http/httpclient.h>
#include <observability/metricsregistry.h>
#include <standins/platform/platformworker.h>
#include <support/coroutines.h>
#include <utils/endpoint.h>
#include <workerclient.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

struct Fixture
{
    Fixture()
        : server(context.get_executor(), anyLoopbackPort(), "i-1")
        , http(context.get_executor())
        , client(http, metrics)
        , worker{"i-1", formatEndpoint(server.localEndpoint())}
    {
        server.start();
    }

    StartCommand startOf(int run, std::int64_t token)
    {
        StartCommand command;
        command.worker = worker;
        command.task = {"ab", 0, 0, 0};
        command.run = run;
        command.payload = "ms=60000";
        command.fencingToken = token;
        command.leaseEnd = WorkerTime(6000);
        return command;
    }

    asio::io_context context{1};
    StandIn::PlatformWorker server;
    HttpClient http;
    MetricsRegistry metrics;
    Platform::WorkerClient client;
    WorkerAddress worker;
};

RejectionReason rejectionReasonOf(const CommandResult &result)
{
    return std::get<CommandRejected>(result).reason;
}

} // namespace

static asio::awaitable<void> startsReportsAndStopsARunSteps(Fixture &f)
{
    cr_assert(std::holds_alternative<CommandExecuted>(co_await f.client.start(f.startOf(1, 5))));
    cr_assert(std::holds_alternative<CommandExecuted>(co_await f.client.start(f.startOf(1, 5))), "the run has already started");
    PollCommand poll;
    poll.worker = f.worker;
    poll.fencingToken = 5;
    const PollResult running = co_await f.client.poll(poll);
    cr_assert_eq(std::get<WorkerReport>(running).runs.size(), 1);
    cr_assert_gt(std::get<WorkerReport>(running).processStartedAt.count(), 0);
    StopCommand stop;
    stop.worker = f.worker;
    stop.task = {"ab", 0, 0, 0};
    stop.run = 1;
    stop.fencingToken = 5;
    cr_assert(std::holds_alternative<CommandExecuted>(co_await f.client.stop(stop)));
    const PollResult stopped = co_await f.client.poll(poll);
    cr_assert_eq(std::get<WorkerReport>(stopped).ends.at(0).endReason, RunEndReason::Stopped);
    cr_assert_eq(rejectionReasonOf(co_await f.client.start(f.startOf(1, 5))), RejectionReason::Superseded);
}

Test(workerClient, startsReportsAndStopsARun)
{
    Fixture fixture;
    runToEnd(fixture.context, ::startsReportsAndStopsARunSteps(fixture));
}

static asio::awaitable<void> rejectionsAreDistinguishedSteps(Fixture &f)
{
    StartCommand late = f.startOf(1, 5);
    late.leaseEnd = WorkerTime(1);
    cr_assert_eq(rejectionReasonOf(co_await f.client.start(late)), RejectionReason::Expired);
    cr_assert_eq(rejectionReasonOf(co_await f.client.start(f.startOf(1, 4))), RejectionReason::Fenced);
    StartCommand other = f.startOf(1, 5);
    other.worker.id = "i-2";
    cr_assert_eq(rejectionReasonOf(co_await f.client.start(other)), RejectionReason::WrongWorker);
    StartCommand unreachable = f.startOf(1, 5);
    unreachable.worker.address = "127.0.0.1:1";
    cr_assert(std::holds_alternative<CommandNotSent>(co_await f.client.start(unreachable)));
    PollCommand poll;
    poll.worker = unreachable.worker;
    cr_assert(std::holds_alternative<WorkerNotListening>(co_await f.client.poll(poll)));
}

Test(workerClient, rejectionsAreDistinguished)
{
    Fixture fixture;
    runToEnd(fixture.context, ::rejectionsAreDistinguishedSteps(fixture));
}
