#include "fakescheduler.h"

#include <operators/operatorclient.h>

#include <golden/goldenfile.h>

using namespace Hyssop;
using namespace Hyssop::Test;

constexpr std::chrono::milliseconds ShortTimeout{1200};

static Wire::ConfigChange change(const std::string &changeId, std::int64_t base = 0)
{
    Wire::ConfigChange result;
    result.changeId = changeId;
    result.key = "contract/mtkvari";
    result.baseRevision = base;
    result.body = readTestFile("../examples/contracts/mtkvari.ini");
    result.operatorName = "nino";
    return result;
}

static Wire::JobSpec job(const std::string &jobId)
{
    Wire::JobSpec spec;
    spec.jobId = jobId;
    spec.customer = "mtkvari";
    spec.team = "reports";
    spec.taskName = "monthly-report";
    spec.declared.milliCores = 1000;
    spec.declared.memoryBytes = 1'000'000'000;
    spec.command = "report";
    return spec;
}

/// Two schedulers that share a store.
struct Schedulers
{
    explicit Schedulers(std::string secondDomain = "east-a")
        : second(context, store, std::move(secondDomain))
    {
    }

    OperatorClientOptions options() const { return {{first.address(), second.address()}, ShortTimeout, {}}; }

    asio::io_context context;
    FakeStore store;
    FakeScheduler first{context, store};
    FakeScheduler second;
};

static asio::awaitable<void> checkLostReply(Schedulers &schedulers)
{
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    const auto reply = co_await client.apply(change("c1"));
    cr_assert(reply.verdict == Wire::ChangeVerdict::Accepted);
    cr_assert_eq(reply.revision, 1);
    cr_assert_eq(schedulers.store.entries["contract/mtkvari"].revision, 1);
    cr_assert_eq(schedulers.second.effects(), 1);
}

// Guards against a retry that changes the configuration twice or reports a conflict with its own change.
Test(operatorclient, retriesAfterALostReply)
{
    Schedulers schedulers;
    schedulers.first.addFault(Fault::LostReply);
    runToEnd(schedulers.context, checkLostReply(schedulers));
}

static asio::awaitable<void> checkVerdict(Schedulers &schedulers, Wire::ChangeVerdict::type expected)
{
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    const auto reply = co_await client.apply(change("c1"));
    cr_assert(reply.verdict == expected, "verdict %d", static_cast<int>(reply.verdict));
}

// Guards against a result that denies any effect of a change that an earlier attempt made.
Test(operatorclient, staysUnknownWhenOnlyTheLastAttemptIsCertain)
{
    for (const Fault second : {Fault::Unavailable, Fault::Refused}) {
        Schedulers schedulers;
        schedulers.first.addFault(Fault::LostReply);
        schedulers.first.addFault(Fault::Unavailable);
        schedulers.first.addFault(Fault::Unavailable);
        schedulers.second.addFault(second);
        schedulers.second.addFault(Fault::Unavailable);
        schedulers.second.addFault(Fault::Unavailable);
        runToEnd(schedulers.context, checkVerdict(schedulers, Wire::ChangeVerdict::Unknown));
        cr_assert_eq(schedulers.store.entries.size(), 1);
    }
}

// Guards against an operation that exceeds its timeout while no scheduler replies.
Test(operatorclient, endsAtItsTimeout)
{
    Schedulers schedulers;
    for (int attempt = 0; attempt < 3; ++attempt) {
        schedulers.first.addFault(Fault::LostReply);
        schedulers.second.addFault(Fault::LostReply);
    }
    const auto start = std::chrono::steady_clock::now();
    runToEnd(schedulers.context, checkVerdict(schedulers, Wire::ChangeVerdict::Unknown));
    constexpr std::chrono::milliseconds Tolerance{500};
    cr_assert(std::chrono::steady_clock::now() - start < ShortTimeout + Tolerance);
}

// Guards against an error although another scheduler can write the change.
Test(operatorclient, triesTheNextSchedulerWhenNothingWasWritten)
{
    Schedulers schedulers;
    schedulers.first.addFault(Fault::Unavailable);
    runToEnd(schedulers.context, checkVerdict(schedulers, Wire::ChangeVerdict::Accepted));
    cr_assert_eq(schedulers.second.effects(), 1);
}

// Guards against a reported conflict of a change with itself after an attempt whose reply was lost.
Test(operatorclient, recognizesItsOwnChangeInAConflict)
{
    Schedulers schedulers;
    schedulers.first.addFault(Fault::ConflictWithItself);
    runToEnd(schedulers.context, checkVerdict(schedulers, Wire::ChangeVerdict::Accepted));
}

// Guards against an unknown verdict that is returned without a retry under the same id.
Test(operatorclient, retriesAfterAnUnknownVerdict)
{
    Schedulers schedulers;
    schedulers.first.addFault(Fault::UnknownVerdict);
    schedulers.second.addFault(Fault::UnknownVerdict);
    runToEnd(schedulers.context, checkVerdict(schedulers, Wire::ChangeVerdict::Accepted));
    cr_assert_eq(schedulers.store.entries["contract/mtkvari"].revision, 1);
}

// Guards against an unknown verdict for a change that certainly no scheduler has written.
Test(operatorclient, isCertainWhenEverySchedulerWroteNothing)
{
    Schedulers schedulers;
    schedulers.first.addFault(Fault::Unavailable);
    schedulers.second.addFault(Fault::Unavailable);
    runToEnd(schedulers.context, checkVerdict(schedulers, Wire::ChangeVerdict::Unavailable));
    cr_assert(schedulers.store.entries.empty());
    cr_assert(schedulers.first.effects() == 1 && schedulers.second.effects() == 1);
}

static asio::awaitable<void> checkClosedPorts(OperatorClient &client)
{
    const auto reply = co_await client.apply(change("c1"));
    cr_assert(reply.verdict == Wire::ChangeVerdict::Unavailable);
    auto submitted = co_await client.submit(job("j1"));
    cr_assert(valueOf(submitted) != nullptr && valueOf(submitted)->verdict == Wire::SubmitVerdict::NotRun);
    auto state = co_await client.state("");
    cr_assert(errorOf(state) != nullptr && errorOf(state)->code == ErrorCode::Unavailable);
}

// Guards against an unknown verdict if all connections were refused, so that no request was sent.
Test(operatorclient, isCertainWhenConnectionsAreRefused)
{
    Schedulers schedulers;
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    schedulers.first.stop();
    schedulers.second.stop();
    runToEnd(schedulers.context, checkClosedPorts(client));
}

static asio::awaitable<void> checkConflict(Schedulers &schedulers)
{
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    co_await client.apply(change("other"));
    const auto reply = co_await client.apply(change("mine"));
    cr_assert(reply.verdict == Wire::ChangeVerdict::Conflict);
    cr_assert(reply.current.changeId == "other" && reply.current.operatorName == "nino" && reply.current.revision == 1);
}

// Guards against a conflict that does not name the accepted change, or that is retried at another scheduler.
Test(operatorclient, reportsTheOtherChange)
{
    Schedulers schedulers;
    runToEnd(schedulers.context, checkConflict(schedulers));
    cr_assert_eq(schedulers.second.effects(), 0);
}

static asio::awaitable<void> checkSubmit(Schedulers &schedulers, Wire::SubmitVerdict::type expected)
{
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    co_await client.apply(change("c1"));
    auto reply = co_await client.submit(job("j1"));
    cr_assert(valueOf(reply) != nullptr);
    cr_assert(valueOf(reply)->verdict == expected, "verdict %d", static_cast<int>(valueOf(reply)->verdict));
    cr_assert_eq(client.domain(), "east-a");
}

// Guards against a job that runs in two failure domains (P2): their schedulers do not know each other's job ids.
Test(operatorclient, keepsAJobInOneFailureDomain)
{
    Schedulers schedulers("west-a");
    schedulers.store.apply(change("c1"));
    for (int attempt = 0; attempt < 3; ++attempt) {
        schedulers.first.addFault(Fault::UnknownVerdict);
    }
    schedulers.first.addFault(Fault::UnknownVerdict);
    runToEnd(schedulers.context, checkSubmit(schedulers, Wire::SubmitVerdict::Undetermined));
    cr_assert_eq(schedulers.store.jobs["east-a"].size(), 1);
    cr_assert(schedulers.store.jobs["west-a"].empty());
}

// Guards against the verdict NotRun after an internal error of a scheduler, whose effect is unknown (P6).
Test(operatorclient, staysUndeterminedAfterAnInternalError)
{
    Schedulers schedulers;
    schedulers.store.apply(change("c1"));
    // The configuration change in checkSubmit() consumes the first fault.
    schedulers.first.addFault(Fault::Unavailable);
    schedulers.first.addFault(Fault::InternalError);
    schedulers.first.addFault(Fault::Refused);
    schedulers.second.addFault(Fault::Unavailable);
    schedulers.second.addFault(Fault::Refused);
    runToEnd(schedulers.context, checkSubmit(schedulers, Wire::SubmitVerdict::Undetermined));
    cr_assert_eq(schedulers.store.jobs["east-a"].size(), 1);
}

// Guards against a job that is recorded twice after a lost reply.
Test(operatorclient, retriesAJobUnderTheSameId)
{
    Schedulers schedulers;
    schedulers.store.apply(change("c1"));
    // The configuration change in checkSubmit() consumes the first fault.
    schedulers.first.addFault(Fault::Unavailable);
    schedulers.first.addFault(Fault::LostReply);
    runToEnd(schedulers.context, checkSubmit(schedulers, Wire::SubmitVerdict::Queued));
    cr_assert_eq(schedulers.store.jobs["east-a"].size(), 1);
}

static asio::awaitable<void> checkRefusedJob(Schedulers &schedulers)
{
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    co_await client.apply(change("c1"));
    auto spec = job("j1");
    spec.urgent = true;
    auto reply = co_await client.submit(spec);
    cr_assert(errorOf(reply) != nullptr && errorOf(reply)->code == ErrorCode::Refused);
    auto cancelled = co_await client.cancel(Wire::JobCancelRequest());
    cr_assert(errorOf(cancelled) != nullptr && errorOf(cancelled)->code == ErrorCode::InvalidArgument);
    Wire::JobCancelRequest request;
    request.jobId = "j1";
    request.operatorName = "nino";
    cancelled = co_await client.cancel(request);
    cr_assert(errorOf(cancelled) != nullptr && errorOf(cancelled)->code == ErrorCode::NotFound);
}

// Guards against refusals that are retried or reported as unavailability.
Test(operatorclient, reportsRefusals)
{
    Schedulers schedulers;
    runToEnd(schedulers.context, checkRefusedJob(schedulers));
    cr_assert_eq(schedulers.second.effects(), 0);
}

static asio::awaitable<void> checkReads(Schedulers &schedulers)
{
    OperatorClient client(schedulers.context.get_executor(), schedulers.options());
    auto state = co_await client.state("contract/mtkvari");
    cr_assert(valueOf(state) != nullptr && valueOf(state)->entries.size() == 1);
    schedulers.second.setReady(false);
    state = co_await client.state("contract/mtkvari");
    cr_assert(valueOf(state) != nullptr && !valueOf(state)->ready);
    schedulers.first.stop();
    auto statuses = co_await client.statuses();
    cr_assert_eq(statuses.size(), 2);
    cr_assert(errorOf(statuses[0].second) != nullptr && valueOf(statuses[1].second) != nullptr);
    auto targets = co_await client.targets();
    cr_assert(valueOf(targets) != nullptr && valueOf(targets)->targets.size() == 2);
}

// Guards against a read that returns the state of a scheduler that has not read the whole configuration, or that fails
// because one scheduler does not reply.
Test(operatorclient, prefersAReadySchedulerForReads)
{
    Schedulers schedulers;
    schedulers.store.apply(change("c1"));
    schedulers.first.setReady(false);
    runToEnd(schedulers.context, checkReads(schedulers));
}
