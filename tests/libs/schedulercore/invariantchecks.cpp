#include "invariantchecks.h"

#include <chrono>

namespace Hyssop::Testing {

namespace {

// The permit, plus the difference of two clocks' rates over it.
constexpr std::chrono::milliseconds MaximumStartDelayAfterOut{3100};

std::string domainOf(const std::string &name)
{
    return name.substr(0, name.find('.'));
}

// Each failure domain has its own replicas of a service under the same ids.
std::string workKey(const std::string &jobId, const std::string &workerName)
{
    return jobId.starts_with("service/") ? domainOf(workerName) + ":" + jobId : jobId;
}

} // namespace

InvariantChecks::InvariantChecks(WorldState &state)
    : m_state(state)
{
}

void InvariantChecks::checkStart(const std::string &workerName, const std::string &jobId, int attempt, const std::string &checkpoint)
{
    const SimulatedDomain &domain = m_state.domains.at(domainOf(workerName));
    // A worker that restarts loses the task; a repeated start command may then run the same attempt again.
    auto &[count, restarts] = m_startCounts[{workKey(jobId, workerName), attempt}];
    if (count > 0 && restarts != m_state.workers.at(workerName)->restarts()) {
        count = 0;
    }
    restarts = m_state.workers.at(workerName)->restarts();
    if (++count > 1) {
        m_state.reportViolation("P3 " + jobId + "/" + std::to_string(attempt) + " starts a second time");
    }
    if (!domain.inService && m_state.time - domain.changedAt > MaximumStartDelayAfterOut) {
        m_state.reportViolation("P4 " + jobId + " starts " + std::to_string((m_state.time - domain.changedAt).count()) + " ms after its domain was taken out");
    }
    const JobEntry *entry = domain.ledger->job(jobId);
    if (!entry || entry->state != JobState::Running || entry->attempt != attempt || entry->worker != workerName) {
        m_state.reportViolation("P3 " + jobId + "/" + std::to_string(attempt) + " starts on " + workerName + " without an open attempt there");
    } else if (entry->checkpoint != checkpoint) {
        m_state.reportViolation("P3 " + jobId + "/" + std::to_string(attempt) + " starts from '" + checkpoint + "' instead of '" + entry->checkpoint + "'");
    }
}

void InvariantChecks::check()
{
    std::map<std::string, Resources> committed;
    for (const auto &[name, domain] : m_state.domains) {
        for (const std::string &jobId : domain.ledger->openJobs()) {
            const JobEntry &entry = *domain.ledger->job(jobId);
            if (entry.state == JobState::Running) {
                const Wire::Resources &declared = entry.spec.declared;
                committed[entry.worker] += {declared.milliCores, declared.memoryBytes, declared.accelerators, declared.slots};
            }
        }
    }
    std::map<std::string, std::string> runsOn;
    for (const auto &[name, worker] : m_state.workers) {
        if (!committed[name].fitsIn(worker->capacity())) {
            m_state.reportViolation("P1 open attempts on " + name + " exceed its capacity");
        }
        if (!worker->used().fitsIn(worker->capacity())) {
            m_state.reportViolation("P1 tasks on " + name + " exceed its capacity");
        }
        for (const auto &[key, task] : worker->tasks()) {
            if (!isActive(task.status.state) || !task.stopsWithoutLease) {
                continue;
            }
            const auto [other, first] = runsOn.emplace(workKey(key.first, name), name);
            if (!first) {
                m_state.reportViolation("P2 " + key.first + " runs on " + other->second + " and " + name);
            }
        }
    }
}

int InvariantChecks::starts(const std::string &jobId) const
{
    int sum = 0;
    for (auto entry = m_startCounts.lower_bound({jobId, 0}); entry != m_startCounts.end() && entry->first.first == jobId; ++entry) {
        sum += entry->second.first;
    }
    return sum;
}

} // namespace Hyssop::Testing
