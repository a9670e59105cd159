#include "hyssop_types.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 20ms;
constexpr int Workers = 75;
constexpr std::int64_t SmallWorker = 8000; // thousandths of a core
constexpr auto TicketValidity = 3s;
constexpr auto AdviceTimeout = 5s; // until the client of the service reports that there is no response

std::string workerName(int index)
{
    return "w" + std::to_string(index);
}

/// A queue whose policy is known to an advice service, and workers that report and start what they are told to.
class QueueWithAdvice
{
public:
    /// Begins a term with the job "j" of @p tasks tasks. Each of @p freeMilliCores is what a worker has.
    QueueWithAdvice(int tasks, const std::map<std::string, std::int64_t> &freeMilliCores)
    {
        QueueInfo queue;
        queue.name = "policy";
        queue.workerPool = "hall";
        queue.advice = AdviceParameters();
        ClusterConfig config;
        config.queues["policy"] = queue;
        dispatcher.applyConfiguration(config, {});
        Wire::StepJob job;
        job.queue = "policy";
        job.steps.resize(1);
        job.steps[0].taskCount = tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 600'000;
        JobTable table;
        table.apply({0, submissionKey("j"), encode(job)});
        dispatcher.beginTerm(1, table, {now, now}, true);
        for (const auto &[id, milliCores] : freeMilliCores) {
            WorkerInfo worker;
            worker.id = id;
            worker.workerPool = "hall";
            worker.address = "127.0.0.1:1";
            worker.capacity.milliCores = milliCores;
            dispatcher.updateWorker(worker);
        }
    }

    void run(Duration time)
    {
        for (const TimePoint until = now + time; now < until; now += Tick) {
            dispatcher.confirmRead(now);
            dispatcher.confirmWorkersRead(now);
            reportLostResponses();
            reportStoredBatches();
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
            for (const DispatchAction &action : dispatcher.advance(now, wall)) {
                std::visit(Overloaded{[this](const PollCommand &poll) { answer(poll); },
                                      [this](const StartCommand &start) { answer(start); },
                                      [this](const RequestAdvice &request) { answer(request); },
                                      [this](const AppendRecords &) { m_batchesStoredAt.push_back(now + storeTime); },
                                      [](const auto &) {}},
                           action);
            }
        }
    }

    Dispatcher dispatcher{DispatchLimits()};
    TimePoint now{1000s};
    std::set<std::string> allowed; // workers on which the policy allows the step
    bool rejectsTickets = false;
    bool isAdviceAvailable = true;
    Duration storeTime{0}; // of an append
    int lostResponses = 0; // so many of the next requests for advice get no response
    std::vector<RequestAdvice> requests;
    std::vector<StartCommand> starts;

private:
    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - TimePoint(900s)); }

    void answer(const PollCommand &poll)
    {
        WorkerReport report;
        report.clock = clock();
        for (ReportedRun &run : m_runs[poll.worker.id]) {
            run.progressPercent = (run.progressPercent + 1) % 99;
        }
        report.runs = m_runs[poll.worker.id];
        dispatcher.pollAnswered(poll, report, now, now);
    }

    void answer(const StartCommand &start)
    {
        starts.push_back(start);
        if (rejectsTickets || start.ticket.empty()) {
            dispatcher.startAnswered(start, CommandRejected{RejectionReason::MissingTicket, "ticket"}, now);
            return;
        }
        m_runs[start.worker.id].push_back({start.task, start.run, "", 0, 0});
        dispatcher.startAnswered(start, CommandExecuted{clock()}, now);
    }

    void answer(const RequestAdvice &request)
    {
        requests.push_back(request);
        if (lostResponses > 0) {
            --lostResponses;
            m_unanswered.push_back({request, now});
            return;
        }
        if (!isAdviceAvailable) {
            dispatcher.adviceAnswered(request, Error{ErrorCode::Timeout, "timeout"}, now, now);
            return;
        }
        PlacementAdvice advice;
        advice.validity = TicketValidity;
        for (const std::string &worker : request.workers) {
            if (allowed.contains(worker)) {
                advice.tickets[worker] = "ticket-" + worker;
            }
        }
        dispatcher.adviceAnswered(request, advice, now, now);
    }

    void reportLostResponses()
    {
        while (!m_unanswered.empty() && now - m_unanswered.front().second >= AdviceTimeout) {
            const auto [request, sentAt] = m_unanswered.front();
            m_unanswered.erase(m_unanswered.begin());
            dispatcher.adviceAnswered(request, Error{ErrorCode::Timeout, "timeout"}, sentAt, now);
        }
    }

    void reportStoredBatches()
    {
        while (!m_batchesStoredAt.empty() && m_batchesStoredAt.front() <= now) {
            m_batchesStoredAt.erase(m_batchesStoredAt.begin());
            dispatcher.recordsStored(now);
        }
    }

    std::map<std::string, std::vector<ReportedRun>> m_runs;
    std::vector<TimePoint> m_batchesStoredAt;
    std::vector<std::pair<RequestAdvice, TimePoint>> m_unanswered; // and when they were sent
};

/// The last of the workers are half loaded, so they are the last that are asked about.
std::map<std::string, std::int64_t> workersWithLessRoomAtTheEnd()
{
    std::map<std::string, std::int64_t> workers;
    for (int index = 0; index < Workers; ++index) {
        workers[workerName(index)] = index < Workers - 5 ? SmallWorker : SmallWorker / 2;
    }
    return workers;
}

} // namespace

// Guards against a step that waits for good while workers that its policy allows have room: only the ones with most room were asked about.
Test(advice, aStepFindsTheAllowedWorkersHoweverManyOthersHaveMoreRoom)
{
    QueueWithAdvice queue(2, workersWithLessRoomAtTheEnd());
    queue.allowed = {workerName(Workers - 1), workerName(Workers - 2)};
    queue.run(3s);
    cr_assert_eq(queue.starts.size(), 2, "%zu tasks have started", queue.starts.size());
}

Test(advice, noWorkerIsAskedAboutAgainOnceThePolicyHasExcludedIt)
{
    QueueWithAdvice queue(2, workersWithLessRoomAtTheEnd());
    queue.run(20s);
    std::map<std::string, int> asked;
    for (const RequestAdvice &request : queue.requests) {
        cr_assert_leq(request.workers.size(), 100);
        for (const std::string &worker : request.workers) {
            ++asked[worker];
        }
    }
    cr_assert_eq(asked.size(), Workers, "%zu workers were asked about", asked.size());
    for (const auto &[worker, count] : asked) {
        cr_expect_eq(count, 1, "%s was asked about %d times", worker.c_str(), count);
    }
}

// The allowed workers that are known first have room for a part of the step only.
Test(advice, furtherWorkersAreAskedAboutWhileTicketsOfFullOnesAreValid)
{
    QueueWithAdvice queue(12, workersWithLessRoomAtTheEnd());
    queue.allowed = {workerName(0), workerName(Workers - 1)};
    queue.run(2s);
    cr_assert_eq(queue.starts.size(), 12, "%zu tasks have started", queue.starts.size());
}

Test(advice, allowedWorkersAreAskedAboutAgainWhenTheirTicketsHaveExpired)
{
    QueueWithAdvice queue(12, {{"w", SmallWorker}});
    queue.allowed = {"w"};
    queue.run(10s);
    cr_assert_eq(queue.starts.size(), 8);
    cr_assert_geq(queue.requests.size(), 3, "%zu requests in 10 s", queue.requests.size());
    cr_assert_leq(queue.requests.size(), 5, "%zu requests in 10 s", queue.requests.size());
}

Test(advice, requestsAreRareWhileTheServiceFailsOrTicketsAreRejected)
{
    QueueWithAdvice unavailable(2, {{"w", SmallWorker}});
    unavailable.isAdviceAvailable = false;
    unavailable.run(10s);
    cr_assert_leq(unavailable.requests.size(), 20, "%zu requests in 10 s", unavailable.requests.size());
    QueueWithAdvice rejecting(2, {{"w", SmallWorker}});
    rejecting.allowed = {"w"};
    rejecting.rejectsTickets = true;
    rejecting.run(10s);
    cr_assert_leq(rejecting.requests.size(), 20, "%zu requests in 10 s", rejecting.requests.size());
}

// Guards against an accepted job without a run for more than the promised 3 s beside free workers, because one response was lost.
Test(advice, aLostResponseDelaysAStepWithinThePromiseToCallers)
{
    QueueWithAdvice queue(1, {{"w", SmallWorker}});
    queue.allowed = {"w"};
    queue.lostResponses = 1;
    queue.run(3s);
    cr_expect_eq(queue.starts.size(), 1, "%zu tasks have started after 3 s", queue.starts.size());
    while (queue.starts.empty() && queue.requests.size() < 3) {
        queue.run(Tick);
    }
    const auto sinceBegin = std::chrono::duration_cast<std::chrono::milliseconds>(queue.now - TimePoint(1000s));
    cr_expect_lt(sinceBegin.count(), 3100, "the first start was sent after %lld ms", static_cast<long long>(sinceBegin.count()));
}

// Guards against a start that a worker rejects for sure: its ticket has expired while the intent was stored.
Test(advice, noStartIsSentWithoutATicket)
{
    QueueWithAdvice queue(2, {{"w", SmallWorker}});
    queue.allowed = {"w"};
    queue.storeTime = 4s; // longer than a ticket is valid
    queue.run(10s);
    cr_expect(queue.starts.empty(), "%zu starts", queue.starts.size());
    queue.storeTime = 100ms;
    queue.run(8s);
    cr_expect_eq(queue.starts.size(), 2, "%zu starts", queue.starts.size());
}
