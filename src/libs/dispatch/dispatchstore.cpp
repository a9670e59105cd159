#include "dispatcher.h"

#include "jobprogress.h"

#include <jobtopic/jobkeys.h>
#include <wire/codec.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace Hyssop {

namespace Internal {

// The more runs there are, the longer the intervals, so that changes that are not urgent are combined into fewer records.
constexpr std::chrono::milliseconds MinimumBatchInterval{25};
constexpr std::size_t RunsPerUrgentMillisecond = 150;
constexpr std::size_t RunsPerFullMillisecond = 30;
constexpr std::chrono::milliseconds MaximumBatchInterval{200};
constexpr std::chrono::milliseconds LearnedTailsInterval{3000};
// Covers clock skew between instances and late queries of callers.
constexpr std::chrono::milliseconds RetentionMargin{60000};
// A batch that has reached this size is stored before more is added to it. The platform rejects appends of more than 2 MiB.
constexpr std::size_t MaximumBatchBytes = 512 * 1024;
constexpr std::size_t MaximumRemovals = 500; // of jobs, with one batch
constexpr std::size_t RecordOverhead = 5; // bytes of the lengths of a record and its key

static std::chrono::milliseconds batchInterval(std::size_t openRuns, std::size_t runsPerMillisecond)
{
    return std::min(MinimumBatchInterval + std::chrono::milliseconds(openRuns / runsPerMillisecond), MaximumBatchInterval);
}

/// Returns the size of the records from index @p first on.
static std::size_t storedSize(const std::vector<KeyedRecord> &records, std::size_t first)
{
    std::size_t size = 0;
    for (std::size_t index = first; index < records.size(); ++index) {
        const KeyedRecord &record = records[index];
        size += RecordOverhead + record.key.size() + (record.value ? record.value->size() : 0);
    }
    return size;
}

} // namespace Internal

void Dispatcher::composeBatch(TimePoint now, WallTime wall, TickScope scope)
{
    if (scope == TickScope::All && now - m_fullBatchAt >= Internal::batchInterval(openRuns(), Internal::RunsPerUrgentMillisecond)) {
        m_isFullBatchDue = true;
    }
    const bool isUrgentBatchDue = m_jobs.hasUrgent() && now - m_batchAt >= Internal::MinimumBatchInterval;
    if (m_batchPending || (!m_isFullBatchDue && !isUrgentBatchDue)) {
        return;
    }
    AppendRecords append;
    const bool isFull = std::exchange(m_isFullBatchDue, false);
    if (isFull) {
        addAllChanges(append, now, wall);
    } else {
        addUrgentChanges(append);
    }
    takeStoredIntents();
    if (append.records.empty() && append.runs.empty()) {
        if (!m_batch.ends.empty()) {
            recordsStored(now); // the ends changed nothing that is stored
        }
        return;
    }
    m_batchPending = true;
    m_batchAt = now;
    m_fullBatchAt = isFull ? now : m_fullBatchAt;
    m_actions.emplace_back(std::move(append));
}

void Dispatcher::addUrgentChanges(AppendRecords &append)
{
    std::size_t size = 0;
    while (size < Internal::MaximumBatchBytes) {
        JobExecution *job = m_jobs.takeUrgent(false);
        if (job == nullptr) {
            return;
        }
        size += addChangedJob(*job, append);
    }
}

void Dispatcher::addAllChanges(AppendRecords &append, TimePoint now, WallTime wall)
{
    const bool isPassDue = now - m_passBeganAt >= Internal::batchInterval(openRuns(), Internal::RunsPerFullMillisecond);
    if (isPassDue && !m_isPassOpen) {
        beginPass(now);
    }
    const std::size_t size = addChangedJobs(append);
    if (m_isPassOpen && size < Internal::MaximumBatchBytes && !m_jobs.isPassUnfinished()) {
        finishPass(append, now, wall);
    }
    removeObsoleteRuns(append);
    addSilentWorkers(append, now);
}

std::size_t Dispatcher::addChangedJobs(AppendRecords &append)
{
    std::size_t size = 0;
    while (size < Internal::MaximumBatchBytes) {
        JobExecution *job = m_jobs.takeUrgent();
        if (job == nullptr && m_isPassOpen) {
            job = m_jobs.takeNextOfPass();
        }
        if (job == nullptr) {
            break;
        }
        size += addChangedJob(*job, append);
    }
    return size;
}

std::size_t Dispatcher::addChangedJob(JobExecution &job, AppendRecords &append)
{
    const std::size_t firstRecord = append.records.size();
    const std::size_t firstRuns = append.runs.size();
    addChanges(job, append);
    return Internal::storedSize(append.records, firstRecord) + Internal::storedSize(append.runs, firstRuns);
}

void Dispatcher::addChanges(JobExecution &job, AppendRecords &append)
{
    if (job.isEnded() && job.endedAtMs == 0) {
        job.endedAtMs = m_wallMs; // cancelled during a takeover
    }
    const Wire::JobProgress progress = progressOf(job);
    const Wire::JobProgress phase = phaseOf(progress);
    if (std::exchange(job.hasRunsInJobTopic, false)) {
        // The next record of the phase replaces these runs, so they have to be durable in the runs topic before.
        job.hasStoredRuns = true;
        append.runs.push_back({0, progressKey(job.id), encode(progress)});
        m_jobs.markChanged(job);
        return;
    }
    if (job.storedPhase != phase) {
        job.storedPhase = phase;
        append.records.push_back({0, progressKey(job.id), encode(phase)});
    }
    if (!job.isEnded() || hasOpenRuns(job)) {
        job.hasStoredRuns = true;
        append.runs.push_back({0, progressKey(job.id), encode(progress)});
        return;
    }
    if (!job.submissionCompacted) {
        job.submissionCompacted = true;
        append.records.push_back({0, submissionKey(job.id), encode(compactedSubmission(job))});
    }
    if (std::exchange(job.hasStoredRuns, false)) {
        m_batch.endedJobs.push_back(job.id);
    }
}

void Dispatcher::removeObsoleteRuns(AppendRecords &append)
{
    const std::size_t count = std::min(m_obsoleteRuns.size(), Internal::MaximumRemovals);
    const auto first = m_obsoleteRuns.end() - static_cast<std::ptrdiff_t>(count);
    for (auto jobId = first; jobId != m_obsoleteRuns.end(); ++jobId) {
        append.runs.push_back({0, progressKey(*jobId), std::nullopt});
    }
    m_obsoleteRuns.erase(first, m_obsoleteRuns.end());
}

void Dispatcher::beginPass(TimePoint now)
{
    m_isPassOpen = true;
    m_passBeganAt = now;
    m_jobs.beginPass();
    m_passEnds.clear();
    for (const auto &[id, worker] : m_workers) {
        if (worker.processedEndSequence > worker.durableEndSequence) {
            m_passEnds[id] = {worker.endedProcesses, worker.processedEndSequence};
        }
    }
}

void Dispatcher::finishPass(AppendRecords &append, TimePoint now, WallTime wall)
{
    m_isPassOpen = false;
    m_batch.ends = std::exchange(m_passEnds, {});
    removeExpiredJobs(append.records, wall);
    if (!append.runs.empty()) {
        storeLearnedTails(append.runs, now);
    }
}

void Dispatcher::addSilentWorkers(AppendRecords &append, TimePoint now)
{
    if (const auto silent = m_earlierLeases.takeRecord(now)) {
        append.records.push_back({0, silentWorkersKey(), encode(*silent)});
        updateWithheldLeases();
    }
}

void Dispatcher::updateWithheldLeases()
{
    for (auto &[id, worker] : m_workers) {
        const bool wasWithheld = std::exchange(worker.isLeaseWithheld, !m_earlierLeases.canGrant(id));
        worker.roomVersion += wasWithheld && !worker.isLeaseWithheld ? 1 : 0;
    }
}

void Dispatcher::takeStoredIntents()
{
    const auto isLeft = [this](const auto &intent) { return m_jobs.isUrgent(intent.first.job); };
    const auto firstLeft = std::stable_partition(m_newIntents.begin(), m_newIntents.end(), std::not_fn(isLeft));
    m_batch.intents.assign(m_newIntents.begin(), firstLeft);
    m_newIntents.erase(m_newIntents.begin(), firstLeft);
}

void Dispatcher::recordsStored(TimePoint now)
{
    m_batchPending = false;
    if (m_earlierLeases.recordStored()) {
        updateWithheldLeases();
    }
    const PendingBatch stored = std::exchange(m_batch, PendingBatch());
    for (const auto &[id, end] : stored.ends) {
        WorkerState *worker = findWorker(id);
        if (worker != nullptr && worker->endedProcesses == end.endedProcesses) {
            worker->durableEndSequence = end.sequence;
        }
    }
    m_obsoleteRuns.insert(m_obsoleteRuns.end(), stored.endedJobs.begin(), stored.endedJobs.end());
    for (const auto &[id, run] : stored.intents) {
        TaskExecution *task = m_jobs.task(id);
        if (task != nullptr && task->phase == TaskPhase::Assigned && task->run == run) {
            sendStart(id, *task, now);
        }
    }
}

void Dispatcher::storeLearnedTails(std::vector<KeyedRecord> &runs, TimePoint now)
{
    if (now - m_tailsStoredAt < Internal::LearnedTailsInterval) {
        return;
    }
    m_tailsStoredAt = now;
    runs.push_back({0, learnedTailsKey(), encode(m_colocation.learnedTails())});
}

void Dispatcher::removeExpiredJobs(std::vector<KeyedRecord> &records, WallTime wall)
{
    const std::int64_t endedBefore = sinceEpoch(wall - m_limits.statusRetention - Internal::RetentionMargin).count();
    std::vector<std::string> expired;
    for (const auto &[id, job] : m_jobs.jobs()) {
        if (job.isEnded() && job.endedAtMs > 0 && job.endedAtMs < endedBefore) {
            expired.push_back(id);
        }
        if (expired.size() >= Internal::MaximumRemovals) {
            break;
        }
    }
    for (const std::string &id : expired) {
        records.push_back({0, submissionKey(id), std::nullopt});
        records.push_back({0, cancellationKey(id), std::nullopt});
        records.push_back({0, progressKey(id), std::nullopt});
        m_jobs.remove(id);
    }
}

} // namespace Hyssop
