#include "replicaplanner.h"

#include <set>

namespace Hyssop::Internal {

namespace {

constexpr const char *ReplicaPrefix = "service/";

Wire::JobSpec replicaSpec(const Contract &contract, const ServiceContract &service, int number)
{
    Wire::JobSpec spec;
    spec.jobId = ReplicaPrefix + contract.customer + "/" + service.name + "/" + std::to_string(number);
    spec.customer = contract.customer;
    spec.taskName = service.name;
    spec.kind = Wire::TaskKind::Service;
    spec.declared.milliCores = service.task.milliCores;
    spec.declared.memoryBytes = service.task.memoryBytes;
    spec.declared.accelerators = service.task.accelerators;
    spec.declared.slots = service.task.slots;
    spec.serviceName = service.name;
    spec.command = service.command;
    spec.acceptsCheckpoint = false;
    spec.stopsWithoutLease = service.singleCopy;
    spec.maximumFailures = 0; // no limit: replicas are started again for as long as the contract requires them
    return spec;
}

bool isReplica(const std::string &jobId)
{
    return jobId.starts_with(ReplicaPrefix);
}

} // namespace

void ReplicaPlanner::setContracts(const std::vector<Contract> &contracts)
{
    m_ready = true;
    m_desired.clear();
    m_priorities.clear();
    for (const Contract &contract : contracts) {
        for (const ServiceContract &service : contract.services) {
            m_priorities[{contract.customer, service.name}] = service.priority;
            for (int number = 1; number <= service.replicas; ++number) {
                Wire::JobSpec spec = replicaSpec(contract, service, number);
                m_desired.emplace(spec.jobId, std::move(spec));
            }
        }
    }
}

int ReplicaPlanner::priority(const Wire::JobSpec &spec) const
{
    const auto found = m_priorities.find({spec.customer, spec.serviceName});
    return found == m_priorities.end() ? 0 : found->second;
}

ReplicaChanges ReplicaPlanner::plan(const JobLedger &ledger) const
{
    ReplicaChanges changes;
    std::set<std::pair<std::string, std::string>> replacing;
    for (const auto &[jobId, spec] : m_desired) {
        const JobEntry *entry = ledger.job(jobId);
        if (!entry || entry->state == JobState::Ended) {
            changes.submissions.push_back(spec);
            continue;
        }
        if (entry->cancelRequested || entry->spec == spec) {
            continue;
        }
        // Replaces one replica of a service at a time, so that the others continue to serve.
        const auto service = std::make_pair(spec.customer, spec.serviceName);
        if (!replacing.contains(service) && otherReplicasRun(ledger, spec)) {
            replacing.insert(service);
            changes.cancellations.push_back(jobId);
        }
    }
    const std::set<std::string> &open = ledger.openJobs();
    for (auto jobId = open.lower_bound(ReplicaPrefix); jobId != open.end() && isReplica(*jobId); ++jobId) {
        if (!m_desired.contains(*jobId) && !ledger.job(*jobId)->cancelRequested) {
            changes.cancellations.push_back(*jobId);
        }
    }
    return changes;
}

bool ReplicaPlanner::otherReplicasRun(const JobLedger &ledger, const Wire::JobSpec &replaced) const
{
    const std::string prefix = ReplicaPrefix + replaced.customer + "/" + replaced.serviceName + "/";
    for (auto desired = m_desired.lower_bound(prefix); desired != m_desired.end() && desired->first.starts_with(prefix); ++desired) {
        const JobEntry *entry = ledger.job(desired->first);
        const bool runs = entry && entry->state == JobState::Running && !entry->cancelRequested;
        if (desired->first != replaced.jobId && !runs) {
            return false;
        }
    }
    return true;
}

} // namespace Hyssop::Internal
