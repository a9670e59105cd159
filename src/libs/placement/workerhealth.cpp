#include "workerhealth.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

constexpr int FailuresUntilQuarantine = 3;
constexpr std::chrono::seconds InitialQuarantine{30};
constexpr std::size_t MaximumFailedJobs = 10000;
constexpr int MaximumDoublings = 5; // longest quarantine 16 min
constexpr std::size_t WorkersPerQuarantine = 5; // at most one worker in five is quarantined

} // namespace

void WorkerHealth::reportFailure(const std::string &jobId, std::uint32_t worker, const std::string &workerName, std::size_t workerCount, TimePoint now)
{
    if (m_failedWorkers.size() >= MaximumFailedJobs && !m_failedWorkers.contains(jobId)) {
        m_failedWorkers.erase(m_failedWorkers.begin()); // most likely a job that ended without a report
    }
    std::vector<std::string> &failed = m_failedWorkers[jobId];
    const bool failedElsewhere = std::any_of(failed.begin(), failed.end(), [&](const std::string &name) { return name != workerName; });
    if (std::find(failed.begin(), failed.end(), workerName) == failed.end()) {
        failed.push_back(workerName);
    }
    Record &record = m_records[worker];
    record.name = workerName;
    if (record.state == State::Probing && record.probeJob == jobId) {
        quarantine(worker, record, now);
        return;
    }
    if (failedElsewhere || record.lastFailedJob == jobId || record.state != State::Healthy) {
        return;
    }
    record.lastFailedJob = jobId;
    ++record.consecutiveFailures;
    const std::size_t limit = std::max<std::size_t>(1, workerCount / WorkersPerQuarantine);
    if (record.consecutiveFailures >= FailuresUntilQuarantine && m_quarantineEnds.size() < limit) {
        quarantine(worker, record, now);
    }
}

void WorkerHealth::reportSuccess(const std::string &jobId, std::uint32_t worker)
{
    m_failedWorkers.erase(jobId);
    const auto found = m_records.find(worker);
    if (found == m_records.end()) {
        return;
    }
    // The success of a task that was started before the quarantine does not show that the worker has recovered.
    const Record &record = found->second;
    if (record.state == State::Healthy || (record.state == State::Probing && record.probeJob == jobId)) {
        m_records.erase(found);
    }
}

void WorkerHealth::forgetWorker(std::uint32_t worker)
{
    m_records.erase(worker);
    std::erase_if(m_quarantineEnds, [worker](const auto &entry) { return entry.second == worker; });
}

void WorkerHealth::forgetJob(const std::string &jobId)
{
    m_failedWorkers.erase(jobId);
}

void WorkerHealth::addFailedWorkers(const std::string &jobId, const std::vector<std::string> &workers)
{
    if (workers.empty()) {
        return;
    }
    std::vector<std::string> &failed = m_failedWorkers[jobId];
    for (const std::string &worker : workers) {
        if (std::find(failed.begin(), failed.end(), worker) == failed.end()) {
            failed.push_back(worker);
        }
    }
}

WorkerHealth::State WorkerHealth::state(std::uint32_t worker) const
{
    const auto found = m_records.find(worker);
    return found == m_records.end() ? State::Healthy : found->second.state;
}

bool WorkerHealth::awaitsProbe(std::uint32_t worker) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.state == State::Probing && found->second.probeJob.empty();
}

void WorkerHealth::startProbe(std::uint32_t worker, const std::string &jobId)
{
    m_records[worker].probeJob = jobId;
}

void WorkerHealth::cancelProbe(std::uint32_t worker, const std::string &jobId)
{
    const auto found = m_records.find(worker);
    if (found != m_records.end() && found->second.probeJob == jobId) {
        found->second.probeJob.clear();
    }
}

std::vector<std::uint32_t> WorkerHealth::endDueQuarantines(TimePoint now)
{
    std::vector<std::uint32_t> workers;
    while (!m_quarantineEnds.empty() && m_quarantineEnds.begin()->first <= now) {
        const std::uint32_t worker = m_quarantineEnds.begin()->second;
        m_quarantineEnds.erase(m_quarantineEnds.begin());
        m_records[worker].state = State::Probing;
        workers.push_back(worker);
    }
    return workers;
}

const std::vector<std::string> *WorkerHealth::failedWorkers(const std::string &jobId) const
{
    const auto found = m_failedWorkers.find(jobId);
    return found == m_failedWorkers.end() ? nullptr : &found->second;
}

std::size_t WorkerHealth::distinctFailures(const std::string &jobId) const
{
    const std::vector<std::string> *failed = failedWorkers(jobId);
    if (!failed) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(failed->begin(), failed->end(), [this](const std::string &name) {
        return std::none_of(
            m_records.begin(), m_records.end(), [&](const auto &entry) { return entry.second.state != State::Healthy && entry.second.name == name; });
    }));
}

void WorkerHealth::quarantine(std::uint32_t worker, Record &record, TimePoint now)
{
    record.state = State::Quarantined;
    record.quarantinedUntil = now + InitialQuarantine * (1 << std::min(record.quarantineCount, MaximumDoublings));
    ++record.quarantineCount;
    record.consecutiveFailures = 0;
    record.probeJob.clear();
    m_quarantineEnds.emplace(record.quarantinedUntil, worker);
}

} // namespace Hyssop::Internal
