#include "schedulercorestate.h"

#include <utils/overloaded.h>

namespace Hyssop::Internal {

namespace {

Resources resourcesOf(const Wire::Resources &resources)
{
    return {resources.milliCores, resources.memoryBytes, resources.accelerators, resources.slots};
}

} // namespace

void SchedulerCoreState::rebuildPlacement(TimePoint now)
{
    engine = std::make_unique<PlacementEngine>();
    engineStates.clear();
    offers.clear();
    engine->setContracts(contracts);
    for (const std::string &worker : leases.workers()) {
        offerWorker(worker, now);
    }
}

PendingTask SchedulerCoreState::pendingTask(const JobEntry &entry) const
{
    PendingTask task;
    task.jobId = entry.spec.jobId;
    task.customer = entry.spec.customer;
    task.team = entry.spec.team;
    task.taskName = entry.spec.taskName;
    task.service = entry.spec.serviceName;
    task.declared = resourcesOf(entry.spec.declared);
    task.declaredRunTime = std::chrono::milliseconds(entry.spec.declaredRunTimeMs);
    task.urgent = entry.spec.urgent;
    task.priority = replicas.priority(entry.spec);
    task.avoidedWorkers = entry.failedWorkers;
    return task;
}

// Updates the placement engine's state of a job from the ledger. A job with an outstanding proposal keeps its
// resources, because the record may already be in the stream.
void SchedulerCoreState::syncPlacement(const std::string &jobId, TimePoint now)
{
    const JobEntry *entry = ledger.job(jobId);
    if (!isOwner || proposals.has(jobId)) {
        return;
    }
    EngineState &state = engineStates[jobId];
    if (entry && entry->state == JobState::Running) {
        if (state == EngineState::Placed) {
            return;
        }
        if (state == EngineState::Pending) {
            engine->removePending(jobId);
        }
        offerWorker(entry->worker, now);
        engine->adoptRunning(pendingTask(*entry), entry->worker, now);
        state = EngineState::Placed;
        return;
    }
    if (state == EngineState::Placed) {
        engine->release(jobId);
        state = EngineState::Absent;
    }
    const bool pending = entry && entry->state == JobState::Pending && !entry->provisional;
    if (pending && state == EngineState::Absent) {
        engine->addPending(pendingTask(*entry), now);
        state = EngineState::Pending;
    } else if (!pending && state == EngineState::Pending) {
        engine->removePending(jobId);
        state = EngineState::Absent;
    }
    if (state == EngineState::Absent) {
        engineStates.erase(jobId);
    }
}

void SchedulerCoreState::offerWorker(const std::string &worker, TimePoint now)
{
    const WorkerStatus *status = leases.status(worker);
    const auto refused = refusedUntil.find(worker);
    const bool refusedRecently = refused != refusedUntil.end() && now < refused->second;
    WorkerOffer offer;
    offer.worker = worker;
    if (status) {
        offer.rack = status->rack;
        offer.capacity = status->capacity;
        offer.accepting = leases.responsive(worker, now) && !status->leaving && !workersWithOrphans.contains(worker) && !refusedRecently
            && configuredWorkers.contains(worker);
    } else {
        offer.accepting = false;
    }
    const auto known = offers.find(worker);
    if (known != offers.end() && known->second.accepting == offer.accepting && known->second.capacity == offer.capacity) {
        return;
    }
    offers[worker] = {offer.accepting, offer.capacity};
    engine->updateWorker(offer, now);
}

void SchedulerCoreState::offerWorkers(TimePoint now)
{
    for (const std::string &worker : leases.workers()) {
        const auto open = attemptsOn.find(worker);
        const bool used = open != attemptsOn.end() && !open->second.empty();
        if (configuredWorkers.contains(worker) || used) {
            offerWorker(worker, now);
            continue;
        }
        leases.remove(worker);
        offers.erase(worker);
        attemptsOn.erase(worker);
        engine->removeWorker(worker);
    }
}

bool SchedulerCoreState::permitValid(TimePoint now) const
{
    return configVerifiedAt && now < *configVerifiedAt + options.permitDuration;
}

bool SchedulerCoreState::startsAllowed(TimePoint now) const
{
    return domainInService && permitValid(now) && logReachable(now) && !draining(now);
}

void SchedulerCoreState::decide(TimePoint now)
{
    const std::size_t maximum = startsAllowed(now) ? options.maximumStartsPerTick : 0;
    const auto onThrottle = [&](const ThrottleTask &decision) {
        const auto found = attempts.find(decision.jobId);
        if (found != attempts.end()) {
            found->second.targetSpeedPercent = decision.speedPercent;
        }
    };
    const auto onEvict = [&](const EvictTask &decision) {
        const auto found = attempts.find(decision.jobId);
        const JobEntry *entry = ledger.job(decision.jobId);
        if (found != attempts.end() && !found->second.service && !found->second.eviction) {
            found->second.eviction.emplace(EvictionOptions(), entry->spec.acceptsCheckpoint, now);
        }
    };
    const Overloaded visitor{
        [&](const PlaceTask &decision) { place(decision, now); },
        onThrottle,
        onEvict,
        [&](const RejectJob &decision) { reject(decision, now); },
    };
    for (const PlacementDecision &decision : engine->decide(now, maximum)) {
        std::visit(visitor, decision);
    }
}

void SchedulerCoreState::place(const PlaceTask &decision, TimePoint now)
{
    const JobEntry *entry = ledger.job(decision.jobId);
    engineStates[decision.jobId] = EngineState::Placed;
    const bool pending = entry && entry->state == JobState::Pending && !entry->cancelRequested;
    if (!pending || !proposals.mayPropose(decision.jobId, now)) {
        syncPlacement(decision.jobId, now);
        return;
    }
    Wire::AttemptIntent intent;
    intent.term = ledger.term();
    intent.jobId = decision.jobId;
    intent.attempt = entry->attempt + 1;
    intent.worker = decision.worker;
    intent.checkpoint = entry->checkpoint;
    Wire::Record record;
    record.__set_attemptIntent(intent);
    propose(decision.jobId, std::move(record), now);
}

void SchedulerCoreState::reject(const RejectJob &decision, TimePoint now)
{
    const JobEntry *entry = ledger.job(decision.jobId);
    engine->removePending(decision.jobId);
    engineStates.erase(decision.jobId);
    if (!entry || entry->state != JobState::Pending || !proposals.mayPropose(decision.jobId, now) || !logReachable(now)) {
        syncPlacement(decision.jobId, now);
        return;
    }
    Wire::JobEnded end;
    end.term = ledger.term();
    end.jobId = decision.jobId;
    end.outcome = Wire::AttemptOutcome::Failed;
    end.reason = decision.reason;
    Wire::Record record;
    record.__set_jobEnded(end);
    propose(decision.jobId, std::move(record), now);
}

} // namespace Hyssop::Internal
