#include "memorystore.h"
#include "memorytopics.h"

#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <node/clusterview.h>
#include <node/jobintake.h>
#include <node/topicfollower.h>
#include <observability/metricsregistry.h>
#include <ports/platformdecoder.h>
#include <support/coroutines.h>
#include <utils/clock.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr std::int64_t JobDemand = 24 * 13'000;

/// Has one queue, "web", for the pool "hall".
class OneQueueDecoder : public PlatformDecoder
{
public:
    OperatorKey operatorKey(std::string_view) const override { return {OperatorKey::Kind::Configuration, {}}; }
    Result<ClusterConfig> configuration(std::string_view) const override
    {
        ClusterConfig config;
        config.queues["web"].name = "web";
        config.queues["web"].workerPool = "hall";
        return config;
    }
    Result<WorkerInfo> worker(std::string_view, std::string_view) const override { return WorkerInfo(); }
};

Wire::StepJob servingJob()
{
    Wire::StepJob job;
    job.queue = "web";
    job.steps.resize(1);
    job.steps[0].taskCount = 24;
    job.steps[0].milliCores = 13'000;
    job.steps[0].longRunning = true;
    return job;
}

Wire::StepJob shortJob()
{
    Wire::StepJob job = servingJob();
    job.steps[0].longRunning = false;
    return job;
}

/// An instance that accepts jobs while another one owns the topic.
struct Fixture
{
    Fixture()
    {
        cluster.applyOperatorRecord({0, "config", ""});
        follower.setTiming({20ms, 0ms});
        follower.setHandlers([this](const KeyedRecord &record) { intake.jobRecordApplied(table.apply(record)); }, [](TimePoint) {});
        Wire::TopicClaim claim;
        claim.term = 1;
        topics.put(Topic::Jobs, claimKey(), encode(claim));
        asio::co_spawn(context, follower.run(), asio::detached);
        asio::co_spawn(context, intake.run(), asio::detached);
    }

    void publishRoom(std::int64_t milliCores)
    {
        Wire::ServingRoom room;
        room.term = 1;
        room.readUpTo = follower.end();
        room.pools.resize(1);
        room.pools[0].workerPool = "hall";
        room.pools[0].milliCores = milliCores;
        topics.put(Topic::Jobs, servingRoomKey(), encode(room));
        context.run_for(60ms);
    }

    SubmitResult submit(const std::string &jobId, const Wire::StepJob &job = servingJob(), std::chrono::milliseconds timeout = 3s)
    {
        SubmitResult result;
        runToEnd(context, [&]() -> asio::awaitable<void> { result = co_await intake.submit(jobId, job, timeout); }());
        return result;
    }

    asio::awaitable<void> submitAndCount(std::string jobId)
    {
        const SubmitResult result = co_await intake.submit(std::move(jobId), servingJob(), 3s);
        accepted += std::holds_alternative<JobAccepted>(result) ? 1 : 0;
        notAccepted += std::holds_alternative<JobNotAccepted>(result) ? 1 : 0;
    }

    CancelResult cancel(const std::string &jobId)
    {
        CancelResult result;
        runToEnd(context, [&]() -> asio::awaitable<void> { result = co_await intake.cancel(jobId, 3s); }());
        return result;
    }

    asio::awaitable<void> submitInto(std::optional<SubmitResult> &result, std::string jobId, Wire::StepJob job = servingJob())
    {
        result = co_await intake.submit(std::move(jobId), std::move(job), 3s);
    }

    asio::awaitable<void> cancelInto(std::optional<CancelResult> &result, std::string jobId) { result = co_await intake.cancel(std::move(jobId), 3s); }

    bool isRecorded(const std::string &jobId)
    {
        context.run_for(60ms);
        return table.find(jobId) != nullptr;
    }

    double refusals() const { return metrics.value("hyssop_serving_admissions_total", {{"outcome", "refused"}}); }

    asio::io_context context{1};
    Clock clock;
    MetricsRegistry metrics;
    MemoryTopics topics;
    MemoryStore store{topics};
    OneQueueDecoder decoder;
    ClusterView cluster{decoder, metrics};
    JobTable table;
    TopicFollower follower{context.get_executor(), clock, store, Topic::Jobs};
    JobIntake intake{context.get_executor(), clock, store, table, follower, cluster, metrics};
    int accepted = 0;
    int notAccepted = 0;
};

} // namespace

/// Accepted without room, serving jobs take the reserve of the short tasks for good.
Test(jobIntake, aServingJobWithoutRoomIsRefusedAndNotRecorded, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(JobDemand - 1);
    const SubmitResult result = fixture.submit("job");
    const auto *refused = std::get_if<JobNotAccepted>(&result);
    cr_assert_not_null(refused);
    cr_assert(refused->retryAfter >= 2s);
    cr_assert_not(fixture.isRecorded("job"));
    cr_assert_eq(fixture.refusals(), 1);
}

Test(jobIntake, servingJobsAreAcceptedWhileThereIsRoom, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(2 * JobDemand);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("first")));
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("second")));
    cr_assert(std::holds_alternative<JobNotAccepted>(fixture.submit("third")));
    fixture.publishRoom(JobDemand);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("third")), "a refused job may come again");
}

/// Requests that arrive at the same time must not all take the same room.
Test(jobIntake, concurrentServingJobsDoNotShareTheRoom, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(2 * JobDemand);
    for (int number = 0; number < 5; ++number) {
        asio::co_spawn(fixture.context, fixture.submitAndCount("job" + std::to_string(number)), asio::detached);
    }
    fixture.context.run_for(2s);
    cr_assert_eq(fixture.accepted, 2);
    cr_assert_eq(fixture.notAccepted, 3);
}

Test(jobIntake, shortJobsAreAcceptedWithoutRoomForServingTasks, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(0);
    Wire::StepJob job = servingJob();
    job.steps[0].longRunning = false;
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job", job)));
}

Test(jobIntake, servingJobsAreAcceptedWhileTheRoomIsUnknown, .timeout = 30)
{
    Fixture fixture;
    fixture.context.run_for(60ms);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
    cr_assert_eq(fixture.refusals(), 0);
}

/// An accepted job is never taken back, so a resent one must not be answered as if it had not been accepted.
Test(jobIntake, aResentServingJobThatWasAcceptedIsNotRefused, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(JobDemand);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
    fixture.publishRoom(0);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
}

/// The caller may resend the job to an instance that has not read its record yet.
Test(jobIntake, aServingJobThatAnotherInstanceHasJustAcceptedIsNotRefused, .timeout = 30)
{
    Fixture fixture;
    fixture.follower.setTiming({300ms, 0ms});
    fixture.publishRoom(0);
    fixture.topics.put(Topic::Jobs, submissionKey("job"), encode(servingJob()));
    cr_assert_null(fixture.table.find("job"));
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
    cr_assert_eq(fixture.refusals(), 0);
}

/// An append without a response may have recorded the job, so "not accepted" would not be true.
Test(jobIntake, aServingJobWithAnUndeterminedAttemptIsNotRefused, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(JobDemand);
    fixture.store.appendTime = 600ms;
    cr_assert(std::holds_alternative<JobUndetermined>(fixture.submit("job", servingJob(), 300ms)));
    fixture.publishRoom(0);
    cr_assert_not(std::holds_alternative<JobNotAccepted>(fixture.submit("job")));
}

/// Without a read after the request it is not known whether the job was recorded before.
Test(jobIntake, aServingJobIsNotRefusedOnAnOldTable, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(0);
    fixture.follower.setTiming({5s, 0ms});
    fixture.context.run_for(60ms);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
    cr_assert_eq(fixture.metrics.value("hyssop_serving_admissions_total", {{"outcome", "table-outdated"}}), 1);
}

// Guards against "outcome unknown" as the answer about a job that this instance has read, because the responses to its append were lost.
Test(jobIntake, aRecordedSubmissionIsAcceptedThoughTwoResponsesAreLost, .timeout = 30)
{
    Fixture fixture;
    fixture.context.run_for(60ms);
    fixture.store.lostAppendResponses = 2;
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
}

// Guards against the same for a cancellation, which the platform counts as not acknowledged.
Test(jobIntake, aRecordedCancellationIsAcknowledgedThoughTwoResponsesAreLost, .timeout = 30)
{
    Fixture fixture;
    fixture.context.run_for(60ms);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("job")));
    cr_assert(fixture.isRecorded("job"));
    fixture.store.lostAppendResponses = 2;
    cr_assert(std::holds_alternative<JobAccepted>(fixture.cancel("job")));
}

// Guards against requests that get no answer in time because the append of an earlier one got no response.
Test(jobIntake, lostResponsesToAnAppendDoNotFailLaterRequests, .timeout = 30)
{
    Fixture fixture;
    fixture.context.run_for(60ms);
    fixture.store.lostAppendResponses = 2;
    asio::co_spawn(fixture.context, fixture.submitAndCount("first"), asio::detached);
    fixture.context.run_for(60ms);
    std::optional<SubmitResult> result;
    asio::co_spawn(fixture.context, fixture.submitInto(result, "second"), asio::detached);
    fixture.context.run_for(4s);
    cr_assert(result && std::holds_alternative<JobAccepted>(*result));
}

// Guards against requests that a stopping instance has read and never answers: they wait for reads and appends longer than the process lives.
Test(jobIntake, requestsWaitForNothingDuringAShutdown, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(JobDemand);
    fixture.publishRoom(0);
    fixture.follower.setTiming({800ms, 0ms}); // the next read is far off
    fixture.context.run_for(100ms);
    std::optional<SubmitResult> withoutRoom;
    std::optional<CancelResult> unknown;
    asio::co_spawn(fixture.context, fixture.submitInto(withoutRoom, "a"), asio::detached);
    asio::co_spawn(fixture.context, fixture.cancelInto(unknown, "b"), asio::detached);
    fixture.context.run_for(50ms);
    cr_assert(!withoutRoom && !unknown);
    fixture.intake.beginShutdown();
    fixture.context.run_for(50ms);
    cr_assert(withoutRoom && unknown, "a request waits for a read");
    cr_expect(std::holds_alternative<JobUndetermined>(*withoutRoom), "an earlier attempt may have been recorded");
    cr_expect(std::holds_alternative<JobUndetermined>(*unknown), "the cancellation is recorded, and the job may be");
}

Test(jobIntake, requestsAreRejectedAtOnceDuringAShutdown, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(JobDemand);
    cr_assert(std::holds_alternative<JobAccepted>(fixture.submit("a")));
    cr_assert(fixture.isRecorded("a"));
    fixture.intake.beginShutdown();
    cr_expect(std::holds_alternative<JobNotAccepted>(fixture.submit("b")));
    cr_expect(std::holds_alternative<JobNotAccepted>(fixture.cancel("a")));
    cr_expect(std::holds_alternative<JobAccepted>(fixture.submit("a")), "it was accepted before");
    cr_expect_not(fixture.isRecorded("b"));
}

// Guards against a caller that is told that its job was not accepted while the append may still be executed.
Test(jobIntake, anAppendThatIsUnderWayAtTheEndIsUndetermined, .timeout = 30)
{
    Fixture fixture;
    fixture.publishRoom(JobDemand);
    fixture.store.appendTime = 1s;
    std::optional<SubmitResult> sent;
    std::optional<SubmitResult> waiting;
    asio::co_spawn(fixture.context, fixture.submitInto(sent, "a"), asio::detached);
    fixture.context.run_for(50ms);
    asio::co_spawn(fixture.context, fixture.submitInto(waiting, "b", shortJob()), asio::detached);
    fixture.context.run_for(50ms);
    fixture.intake.beginShutdown();
    fixture.context.run_for(50ms);
    cr_assert(waiting && std::holds_alternative<JobNotAccepted>(*waiting), "its append was not sent");
    cr_assert(!sent, "its append may still get a response");
    cr_expect(std::holds_alternative<JobUndetermined>(fixture.submit("a")), "the append of the first attempt is under way");
    fixture.intake.abandonRequests();
    fixture.context.run_for(50ms);
    cr_assert(sent && std::holds_alternative<JobUndetermined>(*sent));
}
