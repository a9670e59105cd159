#include "dispatcher.h"

#include "jobprogress.h"

#include <jobtopic/jobkeys.h>
#include <wire/codec.h>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace Internal {

// Every instance reads every batch. With many runs the changes that nobody waits for go into fewer records.
constexpr std::chrono::milliseconds ShortestInterval{25};
constexpr std::size_t RunsPerUrgentMillisecond = 150;
constexpr std::size_t RunsPerFullMillisecond = 30;
constexpr std::chrono::milliseconds LongestInterval{200};
constexpr std::chrono::milliseconds TailsInterval{3000};
// Clocks of instances differ, and callers ask late.
constexpr std::chrono::milliseconds RetentionMargin{60000};
// Bytes of records in one append.
constexpr std::size_t LargestBatch = 512 * 1024;

static std::chrono::milliseconds intervalOf(std::size_t openRuns, std::size_t runsPerMillisecond)
{
    return std::min(ShortestInterval + std::chrono::milliseconds(openRuns / runsPerMillisecond), LongestInterval);
}

} // namespace Internal

void Dispatcher::composeBatch(TimePoint now, WallTime wall)
{
    const std::size_t runs = openRuns();
    if (m_batchOpen || now - m_batchAt < Internal::intervalOf(runs, Internal::RunsPerUrgentMillisecond)) {
        return;
    }
    const bool isFull = now - m_fullBatchAt >= Internal::intervalOf(runs, Internal::RunsPerFullMillisecond);
    StoreRecords store;
    std::size_t size = 0;
    for (JobRun *job : isFull ? m_jobs.takeChanged() : m_jobs.takeUrgent()) {
        KeyedRecord record{0, progressKey(job->id), encode(progressOf(*job))};
        size += record.value->size();
        store.records.push_back(std::move(record));
        if (job->isEnded() && !job->condensed && !hasOpenRuns(*job)) {
            job->condensed = true;
            store.records.push_back({0, submissionKey(job->id), encode(endedSubmission(*job))});
        }
    }
    if (isFull) {
        m_fullBatchAt = now;
        completeBatch(store.records, size, now, wall);
    }
    m_batch.intents = std::exchange(m_newIntents, {});
    if (store.records.empty()) {
        if (!m_batch.ends.empty()) {
            recordsStored(now); // ends that change nothing
        }
        return;
    }
    m_batchOpen = true;
    m_batchAt = now;
    m_actions.emplace_back(std::move(store));
}

void Dispatcher::completeBatch(std::vector<KeyedRecord> &records, std::size_t size, TimePoint now, WallTime wall)
{
    if (size < Internal::LargestBatch) {
        forgetEndedJobs(records, wall);
    }
    if (!records.empty()) {
        storeTails(records, now);
    }
    for (const auto &[id, worker] : m_workers) {
        if (worker.seenEnd > worker.durableEnd) {
            m_batch.ends[id] = {worker.processStartedAt, worker.seenEnd};
        }
    }
}

void Dispatcher::recordsStored(TimePoint now)
{
    m_batchOpen = false;
    const OpenBatch stored = std::exchange(m_batch, OpenBatch());
    for (const auto &[id, end] : stored.ends) {
        WorkerView *worker = findWorker(id);
        if (worker != nullptr && worker->processStartedAt == end.processStartedAt) {
            worker->durableEnd = end.number;
        }
    }
    for (const auto &[id, run] : stored.intents) {
        TaskRun *task = m_jobs.task(id);
        if (task != nullptr && task->phase == TaskPhase::Intended && task->run == run) {
            sendStart(id, *task, now);
        }
    }
}

void Dispatcher::storeTails(std::vector<KeyedRecord> &records, TimePoint now)
{
    if (now - m_tailsAt < Internal::TailsInterval) {
        return;
    }
    m_tailsAt = now;
    records.push_back({0, learnedTailsKey(), encode(m_sharing.learned())});
}

void Dispatcher::forgetEndedJobs(std::vector<KeyedRecord> &records, WallTime wall)
{
    const std::int64_t endedBefore = sinceEpoch(wall - m_limits.statusRetention - Internal::RetentionMargin).count();
    std::vector<std::string> forgotten;
    for (const auto &[id, job] : m_jobs.jobs()) {
        if (job.isEnded() && job.endedAtMs > 0 && job.endedAtMs < endedBefore) {
            forgotten.push_back(id);
        }
    }
    for (const std::string &id : forgotten) {
        records.push_back({0, submissionKey(id), std::nullopt});
        records.push_back({0, cancellationKey(id), std::nullopt});
        records.push_back({0, progressKey(id), std::nullopt});
        m_jobs.remove(id);
    }
}

} // namespace Hyssop
