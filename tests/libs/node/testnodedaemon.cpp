#include "addressdecoder.h"
#include "memorystore.h"
#include "memorytopics.h"
#include "noadvice.h"
#include "nomachines.h"
#include "polledworkers.h"
#include "support/capturedoutput.h"

#include <jobtopic/jobkeys.h>
#include <node/claimpolicy.h>
#include <node/nodedaemon.h>
#include <node/nodesettings.h>
#include <observability/logging.h>
#include <support/coroutines.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr const char *SettingsText = R"(
[instance]
name = node
failure_domain = rack
callers = 127.0.0.1:0
ready = 127.0.0.1:0
admin = 127.0.0.1:0
[store]
address = 127.0.0.1:1
)";

/// One instance and, in the topics, another one that can own the job topic.
struct Fixture
{
    Fixture()
        : settings(std::get<Settings>(Settings::parse(SettingsText, "test", nodeSettings())))
        , daemon(context, settings, {store, workers, advice, machines}, decoder, metrics, [] {})
    {
        const auto handler = [](const HttpRequest &) -> asio::awaitable<HttpResponse> { co_return HttpResponse(); };
        daemon.start(handler, handler);
    }

    /// Lets another instance claim the topic and renew its claim until endOtherOwner().
    void beginOtherOwner(std::int64_t term)
    {
        otherTerm = term;
        asio::co_spawn(context, renewOtherOwner(term), asio::detached);
        context.run_for(1ms);
    }

    void endOtherOwner() { otherTerm = 0; }

    asio::awaitable<void> renewOtherOwner(std::int64_t term)
    {
        for (std::int64_t sequence = 0; otherTerm == term; ++sequence) {
            Wire::TopicClaim claim;
            claim.instance = "other";
            claim.incarnation = 1;
            claim.term = term;
            claim.sequence = sequence;
            claim.processorShare = 1;
            topics.append({Topic::Jobs, {{0, claimKey(), encode(claim)}}, std::nullopt, ProducerPosition{"owner", term, sequence}});
            co_await pauseFor(300ms);
        }
    }

    void putWorker(const std::string &id) { topics.put(Topic::Workers, id, "127.0.0.1:1"); }
    void removeWorker(const std::string &id) { topics.put(Topic::Workers, id, std::nullopt); }

    /// Runs until @p condition holds and fails the test if it doesn't within 10 s.
    void runUntil(const std::function<bool()> &condition)
    {
        for (int step = 0; step < 1000 && !condition(); ++step) {
            context.run_for(10ms);
        }
        cr_assert(condition());
    }

    /// Returns the workers that are polled from now on.
    std::set<std::string> polledWorkers()
    {
        context.run_for(600ms);
        workers.ids.clear();
        context.run_for(600ms);
        return workers.ids;
    }

    asio::io_context context{1};
    Settings settings;
    MetricsRegistry metrics;
    MemoryTopics topics;
    MemoryStore store{topics};
    PolledWorkers workers;
    NoAdvice advice;
    NoMachines machines;
    AddressDecoder decoder;
    NodeDaemon daemon;
    std::int64_t otherTerm = 0;
};

using Ids = std::set<std::string>;

constexpr int OrphanedRuns = 150; // more than may have a line of their own in a second

std::string orphanedJob(int index)
{
    return "orphan" + std::to_string(index);
}

/// Ends the instance with SIGTERM while the commands that stop orphaned runs are not answered.
void endDuringStops(Fixture &fixture, std::chrono::milliseconds stopTime)
{
    WorkerReport report;
    for (int index = 0; index < OrphanedRuns; ++index) {
        ReportedRun run;
        run.task = {orphanedJob(index), 0, 0, 0};
        run.run = 1;
        report.runs.push_back(run);
    }
    fixture.workers.report = report;
    fixture.workers.stopTime = stopTime;
    fixture.putWorker("a");
    fixture.runUntil([&] { return fixture.workers.stops >= OrphanedRuns; });
    std::raise(SIGTERM);
}

/// Returns for how many of @p jobs no result is in @p text.
int missingResults(const std::string &text, const std::set<std::string> &jobs)
{
    int missing = 0;
    for (const std::string &job : jobs) {
        missing += text.find("job_id=" + job + " ") == std::string::npos ? 1 : 0;
    }
    return missing;
}

constexpr const char *ServingJob = "serving";

/// Adds a job whose only task serves, with a run on a worker that does not exist any more.
void addRunOnLostWorker(MemoryTopics &topics)
{
    Wire::StepJob job;
    job.queue = "web";
    job.steps.emplace_back();
    job.steps[0].longRunning = true;
    topics.put(Topic::Jobs, submissionKey(ServingJob), encode(job));
    Wire::JobProgress progress;
    progress.phase = Wire::JobPhase::Running;
    topics.put(Topic::Jobs, progressKey(ServingJob), encode(progress));
    progress.steps.emplace_back();
    Wire::TaskMark &mark = progress.steps[0].marks.emplace_back();
    mark.run = 1;
    mark.worker = "lost";
    topics.put(Topic::Runs, progressKey(ServingJob), encode(progress));
}

/// Returns true if the run that addRunOnLostWorker() has added counts as ended.
bool hasRunEnded(const MemoryTopics &topics)
{
    const NewestRecordsPage page = topics.newest(Topic::Runs, "");
    const auto isProgress = [](const KeyedRecord &record) { return record.key == progressKey(ServingJob); };
    const auto record = std::ranges::find_if(page.records, isProgress);
    const auto decoded = capture([&] { return decodeJobProgress(*record->value); });
    const auto *progress = std::get_if<Wire::JobProgress>(&decoded);
    return progress != nullptr && progress->steps.at(0).marks.at(0).worker.empty();
}

/// Returns true if an instance that reads the topic every 10 ms would claim it within @p time.
bool wouldBeClaimed(Fixture &fixture, std::chrono::milliseconds time)
{
    const ClaimPolicy policy(0ms, 1);
    OwnerObservation owner;
    owner.hasClaim = true;
    TimePoint lastRecordAt{};
    std::int64_t end = -1;
    const auto until = std::chrono::steady_clock::now() + time;
    for (auto now = std::chrono::steady_clock::now(); now < until; now = std::chrono::steady_clock::now()) {
        const TimePoint readAt(now.time_since_epoch());
        const std::int64_t newEnd = std::get<RecordPage>(fixture.topics.read(Topic::Jobs, 0)).end;
        lastRecordAt = newEnd != std::exchange(end, newEnd) ? readAt : lastRecordAt;
        owner.silence = readAt - lastRecordAt;
        if (policy.shouldClaim(owner, readAt)) {
            return true;
        }
        fixture.context.run_for(10ms);
    }
    return false;
}

void putSilentWorker(MemoryTopics &topics, std::int64_t term, std::chrono::milliseconds lease)
{
    Wire::SilentWorkers silent;
    silent.term = term;
    silent.workers.emplace_back();
    silent.workers[0].worker = "lost";
    silent.workers[0].leaseMs = lease.count();
    topics.put(Topic::Jobs, silentWorkersKey(), encode(silent));
}

} // namespace

Test(nodeDaemon, standbyInstancesDoNotReadTheWorkersTopic, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.beginOtherOwner(1);
    fixture.context.run_for(3s);
    cr_assert_eq(fixture.store.reads(Topic::Workers), 0, "%d reads", fixture.store.reads(Topic::Workers));
    cr_assert_gt(fixture.store.reads(Topic::Jobs), 1);
}

Test(nodeDaemon, aNewOwnerKnowsTheWorkersThatRegisteredWhileItWasStandby, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.putWorker("b");
    fixture.beginOtherOwner(1);
    fixture.context.run_for(500ms);
    fixture.putWorker("c");
    fixture.putWorker("d");
    fixture.removeWorker("a");
    fixture.topics.dropHistory(Topic::Workers);
    fixture.endOtherOwner();
    fixture.runUntil([&] { return !fixture.workers.ids.empty(); });
    cr_assert(fixture.polledWorkers() == Ids({"b", "c", "d"}));
    cr_assert_not(fixture.workers.ids.contains("a"));
    fixture.putWorker("e");
    fixture.removeWorker("b");
    cr_assert(fixture.polledWorkers() == Ids({"c", "d", "e"}));
}

Test(nodeDaemon, noWorkerOfAnEarlierTermSurvivesAStepDown, .timeout = 60)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.putWorker("b");
    fixture.runUntil([&] { return fixture.workers.ids.size() == 2; });
    fixture.beginOtherOwner(2);
    fixture.context.run_for(1s);
    fixture.workers.ids.clear();
    const int readsBefore = fixture.store.reads(Topic::Workers);
    fixture.removeWorker("a");
    fixture.putWorker("c");
    fixture.topics.dropHistory(Topic::Workers);
    fixture.context.run_for(2s);
    cr_assert(fixture.workers.ids.empty());
    const int readsOnStandby = fixture.store.reads(Topic::Workers) - readsBefore;
    cr_assert_eq(readsOnStandby, 0, "%d reads after the step down", readsOnStandby);
    fixture.endOtherOwner();
    fixture.runUntil([&] { return !fixture.workers.ids.empty(); });
    cr_assert(fixture.polledWorkers() == Ids({"b", "c"}));
    cr_assert_eq(fixture.store.mostReadsAtOnce(Topic::Workers), 1);
}

Test(nodeDaemon, aStepDownWithoutReadsOfTheJobsEndsTheReadsOfTheWorkersTopic, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.runUntil([&] { return !fixture.workers.ids.empty(); });
    fixture.store.failingTopic = Topic::Jobs;
    fixture.beginOtherOwner(2);
    fixture.context.run_for(2s);
    const int readsBefore = fixture.store.reads(Topic::Workers);
    fixture.workers.ids.clear();
    fixture.context.run_for(3s);
    cr_assert(fixture.workers.ids.empty());
    const int readsAfter = fixture.store.reads(Topic::Workers) - readsBefore;
    cr_assert_eq(readsAfter, 0, "%d reads after the step down", readsAfter);
}

Test(nodeDaemon, aLostClaimEndsTheReadsOfTheWorkersTopic, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.store.losesAppends = true;
    fixture.context.run_for(1s);
    fixture.beginOtherOwner(1);
    fixture.context.run_for(2s);
    const int readsBefore = fixture.store.reads(Topic::Workers);
    cr_assert_gt(readsBefore, 0, "no claim was sent");
    fixture.context.run_for(2s);
    const int readsOnStandby = fixture.store.reads(Topic::Workers) - readsBefore;
    cr_assert_eq(readsOnStandby, 0, "%d reads after the claim was lost", readsOnStandby);
}

Test(nodeDaemon, theWorkersAreLoadedWhileTheClaimIsAppended, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.store.appendTime = 300ms;
    fixture.runUntil([&] { return fixture.workers.ids.contains("a"); });
    cr_assert_gt(fixture.store.workersReadsAtClaim(), 0);
}

Test(nodeDaemon, aNewOwnerRepeatsAFailedLoadOfTheWorkers, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.store.failingTopic = Topic::Workers;
    fixture.context.run_for(2s);
    cr_assert(fixture.workers.ids.empty());
    fixture.store.failingTopic.reset();
    fixture.runUntil([&] { return fixture.workers.ids.contains("a"); });
}

Test(nodeDaemon, resultsAfterAStepDownAreWrittenWithoutDelay, .timeout = 30)
{
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "node");
    Fixture fixture;
    endDuringStops(fixture, 600ms);
    fixture.context.run_for(1500ms);
    const std::string text = output.text();
    cr_assert(text.find("ownership released") != std::string::npos);
    cr_assert_eq(fixture.workers.answeredStops.size(), OrphanedRuns);
    const int missing = missingResults(text, fixture.workers.answeredStops);
    cr_assert_eq(missing, 0, "%d results are not written", missing);
}

Test(nodeDaemon, resultsShortlyBeforeTheEndOfTheProcessAreWritten, .timeout = 30)
{
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "node");
    Fixture fixture;
    endDuringStops(fixture, 2470ms); // the process ends after 2.5 s
    fixture.runUntil([&] { return fixture.context.stopped(); });
    const std::string text = output.text();
    cr_assert(text.find("message=stopped") != std::string::npos);
    const int missing = missingResults(text, fixture.workers.answeredStops);
    cr_assert_eq(missing, 0, "%d results are not written", missing);
}

/// Instances that accept serving jobs rely on this record. A new owner publishes the room of its own term.
Test(nodeDaemon, theOwnerPublishesTheRoomForServingTasks, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    const auto &room = fixture.daemon.table().servingRoom();
    fixture.runUntil([&] { return room.has_value(); });
    cr_assert_eq(room->term, fixture.daemon.table().claim()->term);
    cr_assert_eq(room->pools.size(), 1);
    cr_assert_eq(room->pools[0].workerPool, "hall");
    cr_assert(room->pools[0].milliCores > 32000 && room->pools[0].milliCores < 64000);
    fixture.putWorker("b");
    fixture.runUntil([&] { return room->pools[0].milliCores > 64000; });
}

/// Each record is read by every instance.
Test(nodeDaemon, anUnchangedRoomForServingTasksIsWrittenSeldom, .timeout = 30)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.runUntil([&] { return fixture.daemon.table().servingRoom().has_value(); });
    const auto countRooms = [&] {
        const auto page = std::get<RecordPage>(fixture.topics.read(Topic::Jobs, 0));
        std::int64_t rooms = 0;
        for (std::int64_t offset = 0; offset < page.end; ++offset) {
            rooms += std::get<RecordPage>(fixture.topics.read(Topic::Jobs, offset)).records.front().key == servingRoomKey() ? 1 : 0;
        }
        return rooms;
    };
    const std::int64_t before = countRooms();
    fixture.context.run_for(5s);
    const std::int64_t written = countRooms() - before;
    cr_assert(written >= 1 && written <= 3, "%ld records", static_cast<long>(written));
}

/// An owner that ends before a lost worker's leases have must not make the next one wait for them anew.
Test(nodeDaemon, aNewOwnerWaitsForTheLeasesOfASilentWorkerOnlyOnce, .timeout = 30)
{
    Fixture fixture;
    addRunOnLostWorker(fixture.topics);
    fixture.beginOtherOwner(1);
    putSilentWorker(fixture.topics, 1, 2s);
    fixture.context.run_for(1s);
    fixture.endOtherOwner();
    fixture.runUntil([&] { return fixture.daemon.table().claim()->term == 2; });
    fixture.context.run_for(2s);
    cr_assert(hasRunEnded(fixture.topics));
}

/// The owner directly before may have granted the worker a lease.
Test(nodeDaemon, silentWorkersOfAnEarlierOwnerDoNotShortenTheWait, .timeout = 30)
{
    Fixture fixture;
    addRunOnLostWorker(fixture.topics);
    putSilentWorker(fixture.topics, 1, 100ms);
    fixture.beginOtherOwner(2);
    fixture.context.run_for(1s);
    fixture.endOtherOwner();
    fixture.runUntil([&] { return fixture.daemon.table().claim()->term == 3; });
    fixture.context.run_for(4s);
    cr_assert_not(hasRunEnded(fixture.topics));
}

/// The next owner learns of a lost worker from the job topic.
Test(nodeDaemon, theOwnerRecordsWhichWorkersHaveNotReported, .timeout = 30)
{
    Fixture fixture;
    addRunOnLostWorker(fixture.topics);
    const auto &silent = fixture.daemon.table().silentWorkers();
    fixture.runUntil([&] { return silent.has_value(); });
    cr_assert_eq(silent->term, fixture.daemon.table().claim()->term);
    cr_assert_eq(silent->workers.size(), 1);
    cr_assert_eq(silent->workers[0].worker, "lost");
    cr_assert(silent->workers[0].leaseMs > 6000 && silent->workers[0].leaseMs < 9000);
}

/// A single lost message must not cost the ownership: other instances claim the topic when they see no record of the owner.
Test(nodeDaemon, anAppendThatHangsDoesNotCostTheOwnership, .timeout = 60)
{
    Fixture fixture;
    fixture.runUntil([&] { return fixture.daemon.table().claim().has_value(); });
    for (std::chrono::milliseconds delay = 500ms; delay <= 1000ms; delay += 100ms) {
        cr_assert_not(wouldBeClaimed(fixture, delay));
        fixture.store.hangingAppends = 1;
        cr_expect_not(wouldBeClaimed(fixture, 3s), "an append after %ld ms", static_cast<long>(delay.count()));
    }
}

// Guards against an owner that takes two lost responses of a store that serves it for an overload of its own, and releases the topic.
Test(nodeDaemon, lostResponsesToReadsDoNotCostTheOwnership, .timeout = 60)
{
    Fixture fixture;
    fixture.runUntil([&] { return fixture.metrics.value("hyssop_is_owner") == 1; });
    fixture.context.run_for(1s);
    fixture.store.lostReadResponses[Topic::Jobs] = 2;
    fixture.context.run_for(8s);
    cr_expect_eq(fixture.metrics.value("hyssop_step_downs_total", {{"reason", "reading lags behind the growth of the job topic"}}), 0);
    cr_expect_eq(fixture.metrics.value("hyssop_ownerships_total"), 1);
}

// Guards against accepted jobs without a run for more than the promised 3 s, because nothing may start while the registrations are old.
Test(nodeDaemon, threeLostResponsesDoNotWithholdAllStarts, .timeout = 60)
{
    Fixture fixture;
    fixture.putWorker("a");
    fixture.runUntil([&] { return !fixture.workers.ids.empty(); });
    fixture.context.run_for(1s);
    const double before = fixture.metrics.value("hyssop_starts_withheld_seconds_total");
    fixture.store.lostReadResponses[Topic::Workers] = 3;
    fixture.context.run_for(10s);
    const double withheld = fixture.metrics.value("hyssop_starts_withheld_seconds_total") - before;
    cr_assert_lt(withheld, 3.0, "starts were withheld for %.2f s", withheld);
}

// Guards against a takeover after two responses to a renewal are lost: the store executes the renewal once, and others see no further record.
Test(nodeDaemon, twoLostResponsesToARenewalDoNotCostTheOwnership, .timeout = 60)
{
    Fixture fixture;
    fixture.runUntil([&] { return fixture.daemon.table().claim().has_value(); });
    cr_assert_not(wouldBeClaimed(fixture, 1s));
    fixture.store.lostAppendResponses = 2;
    cr_expect_not(wouldBeClaimed(fixture, 5s));
}
