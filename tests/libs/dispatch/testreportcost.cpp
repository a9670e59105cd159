#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <cstdlib>
#include <new>
#include <variant>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

thread_local std::size_t allocations = 0;

} // namespace

// Counts the allocations of this program. The other forms of the operator call this one.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) { // NOLINT(cppcoreguidelines-no-malloc): allocates for operator new
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): frees what operator new has allocated
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): frees what operator new has allocated
}

namespace {

constexpr int Runs = 24;
const std::string JobId = "5c0e7a21d94b36f8"; // as long as real ones

/// A worker with serving tasks of one job, which reports them again and again.
class ServingWorker
{
public:
    ServingWorker()
    {
        ClusterConfig config;
        config.queues["batch"].name = "batch";
        config.queues["batch"].workerPool = "hall";
        m_dispatcher.applyConfiguration(config, {});
        m_dispatcher.beginTerm(1, JobTable(), {m_now, m_now}, true);
        WorkerInfo info;
        info.id = "w";
        info.workerPool = "hall";
        info.address = "127.0.0.1:1";
        info.capacity.milliCores = 64000;
        m_dispatcher.updateWorker(info);
        JobTable table;
        table.apply({0, submissionKey(JobId), encode(job())});
        m_dispatcher.jobChanged(JobId, table.find(JobId), m_now, wall());
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += 20ms) {
            m_dispatcher.confirmRead(m_now);
            m_dispatcher.confirmWorkersRead(m_now);
            for (const DispatchAction &action : m_dispatcher.advance(m_now, wall())) {
                std::visit(Overloaded{[this](const PollCommand &poll) { answer(poll); },
                                      [this](const StartCommand &start) {
                                          m_report.runs.push_back({start.task, start.run, "", 100, 20});
                                          m_dispatcher.startAnswered(start, CommandExecuted{m_report.clock}, m_now);
                                      },
                                      [this](const AppendRecords &) { m_dispatcher.recordsStored(m_now); },
                                      [](const auto &) {}},
                           action);
            }
        }
    }

    std::size_t runs() const { return m_report.runs.size(); }

    /// Returns the allocations while the last report was processed.
    std::size_t reportAllocations() const { return m_reportAllocations; }

private:
    static Wire::StepJob job()
    {
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        job.steps[0].taskCount = Runs;
        job.steps[0].milliCores = 1000;
        job.steps[0].longRunning = true;
        job.steps[0].tailTargetMs = 100;
        job.steps[0].image = "serving";
        return job;
    }

    void answer(const PollCommand &poll)
    {
        m_report.clock = std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch());
        const PollResult result = m_report;
        const std::size_t before = allocations;
        m_dispatcher.pollAnswered(poll, result, m_now, m_now);
        m_reportAllocations = allocations - before;
    }

    WallTime wall() const { return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch())); }

    TimePoint m_now{1000s};
    Dispatcher m_dispatcher{DispatchLimits()};
    WorkerReport m_report;
    std::size_t m_reportAllocations = 0;
};

} // namespace

// Guards against copies and indexes of all runs with each report: workers report 60,000 runs a second, most of them unchanged.
Test(reportCost, allocatesLittleForUnchangedRuns)
{
    ServingWorker worker;
    worker.run(5s);
    cr_assert_eq(worker.runs(), Runs);
    cr_assert_lt(worker.reportAllocations(), Runs, "%zu allocations", worker.reportAllocations());
}
