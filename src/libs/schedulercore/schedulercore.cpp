#include "schedulercore.h"

#include "schedulercorestate.h"

#include <algorithm>

namespace Hyssop {

namespace {

Wire::JobStatus statusOf(const JobEntry &entry)
{
    Wire::JobStatus status;
    status.spec = entry.spec;
    status.state = jobStateName(entry);
    status.attempt = entry.attempt;
    status.worker = entry.worker;
    status.checkpoint = entry.checkpoint;
    status.reason = entry.reason;
    return status;
}

std::size_t countInState(const JobLedger &ledger, JobState state)
{
    const auto matches = [&](const std::string &jobId) { return ledger.job(jobId)->state == state; };
    return static_cast<std::size_t>(std::count_if(ledger.openJobs().begin(), ledger.openJobs().end(), matches));
}

} // namespace

SchedulerCore::SchedulerCore(SchedulerCoreOptions options)
    : m_state(std::make_unique<Internal::SchedulerCoreState>(std::move(options)))
{
}

SchedulerCore::~SchedulerCore() = default;

void SchedulerCore::apply(LogPosition position, WallTime time, const Wire::Record &record, TimePoint now)
{
    m_state->apply(position, time, record, now);
}

void SchedulerCore::jobStreamRead(std::int64_t, TimePoint sentAt, TimePoint)
{
    if (!m_state->logReadAt || sentAt > *m_state->logReadAt) {
        m_state->logReadAt = sentAt;
        m_state->policy.logRead(sentAt);
    }
}

void SchedulerCore::proposalFailed(std::int64_t id, TimePoint now)
{
    m_state->proposalFailed(id, now);
}

void SchedulerCore::transferAppended(std::int64_t id, TimePoint now)
{
    m_state->transferAppended(id, now);
}

void SchedulerCore::setContracts(const std::vector<Contract> &contracts, TimePoint)
{
    m_state->contracts = contracts;
    m_state->replicas.setContracts(contracts);
    m_state->engine->setContracts(contracts);
}

void SchedulerCore::setDomainState(bool inService, const std::vector<std::string> &domainsInService, TimePoint)
{
    m_state->domainInService = inService;
    m_state->otherDomains = domainsInService;
    std::erase(m_state->otherDomains, m_state->options.domain);
}

void SchedulerCore::setConfigVerifiedAt(TimePoint verifiedAt)
{
    if (!m_state->configVerifiedAt || verifiedAt > *m_state->configVerifiedAt) {
        m_state->configVerifiedAt = verifiedAt;
    }
}

void SchedulerCore::ownerHeartbeatReceived(std::int64_t term, TimePoint receivedAt)
{
    m_state->peerTerm = std::max(m_state->peerTerm, term);
    if (term >= m_state->ledger.term()) {
        m_state->policy.heartbeatReceived(receivedAt);
    }
}

void SchedulerCore::setWorkers(const std::vector<std::string> &workers, TimePoint now)
{
    m_state->configuredWorkers = {workers.begin(), workers.end()};
    for (const std::string &worker : workers) {
        m_state->leases.add(worker, now);
    }
}

void SchedulerCore::leaseAnswered(const std::string &worker, const LeaseResult &result, TimePoint sentAt, TimePoint now)
{
    m_state->leaseAnswered(worker, result, sentAt, now);
}

void SchedulerCore::leaseFailed(const std::string &worker, TimePoint now)
{
    m_state->leases.failed(worker, now);
}

void SchedulerCore::commandAnswered(const SchedulerAction &command, CommandOutcome outcome, TimePoint now)
{
    if (m_state->isOwner) {
        m_state->commandAnswered(command, outcome, now);
    }
}

std::vector<SchedulerAction> SchedulerCore::tick(TimePoint now)
{
    return m_state->tick(now);
}

bool SchedulerCore::owner() const
{
    return m_state->active();
}

std::int64_t SchedulerCore::term() const
{
    return m_state->ledger.term();
}

std::vector<Wire::JobStatus> SchedulerCore::jobs(const Wire::JobQuery &query) const
{
    std::vector<Wire::JobStatus> found;
    const std::size_t maximum = query.maximum > 0 ? static_cast<std::size_t>(query.maximum) : 0;
    if (!query.jobId.empty()) {
        const JobEntry *entry = m_state->ledger.job(query.jobId);
        if (entry) {
            found.push_back(statusOf(*entry));
        }
        return found;
    }
    for (const auto &[jobId, entry] : m_state->ledger.jobs()) {
        if (found.size() >= maximum) {
            break;
        }
        if (query.customer.empty() || query.customer == entry.spec.customer) {
            found.push_back(statusOf(entry));
        }
    }
    return found;
}

bool SchedulerCore::hasJob(const std::string &jobId) const
{
    return m_state->ledger.job(jobId) != nullptr;
}

std::vector<Wire::Target> SchedulerCore::targets() const
{
    std::vector<Wire::Target> targets;
    for (const auto &[jobId, attempt] : m_state->attempts) {
        const JobEntry *entry = m_state->ledger.job(jobId);
        if (!attempt.service || !attempt.hasStatus || attempt.task.serviceAddress.empty()) {
            continue;
        }
        const WorkerStatus *status = m_state->leases.status(attempt.worker);
        Wire::Target target;
        target.customer = entry->spec.customer;
        target.serviceName = entry->spec.serviceName;
        target.worker = attempt.worker;
        target.address = attempt.task.serviceAddress;
        target.incarnation = jobId + "#" + std::to_string(attempt.number);
        target.leaving = entry->cancelRequested || attempt.end.has_value() || (status && status->leaving);
        targets.push_back(std::move(target));
    }
    return targets;
}

std::size_t SchedulerCore::pendingCount() const
{
    return countInState(m_state->ledger, JobState::Pending);
}

std::size_t SchedulerCore::runningCount() const
{
    return countInState(m_state->ledger, JobState::Running);
}

std::size_t SchedulerCore::workerCount() const
{
    return m_state->isOwner ? m_state->leases.heldCount(m_state->lastTickAt) : 0;
}

} // namespace Hyssop
