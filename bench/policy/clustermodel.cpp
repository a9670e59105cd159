#include "clustermodel.h"

#include <utils/overloaded.h>

#include <algorithm>
#include <cmath>
#include <variant>

namespace Hyssop::Bench {

namespace {

constexpr double WarmUpSeconds = 300; // excluded from the results
constexpr std::size_t ReportLag = 2; // seconds from a measurement to its report
constexpr double CheckpointInterval = 120;
constexpr double EvictionSeconds = 2; // time for the checkpoint and the stop
constexpr double WorkerFaultSeconds = 10; // time until a task fails on a failing worker
constexpr double BrokenJobSeconds = 15;
constexpr double RequestSigma = 0.35; // standard deviation of the logarithm of request latency
constexpr double P99Factor = 2.2574; // exp(2.326 * RequestSigma)
constexpr double MeasurementNoise = 0.05;
constexpr int RequestsPerSecond = 4; // sampled from each replica
constexpr double ContentionLoad = 0.85; // processor contention starts at this load
constexpr double ContentionSlope = 3;
constexpr double BinWidth = 0.01;
constexpr double LowestBin = -6;
constexpr std::size_t Bins = 1200;
constexpr double AfterReturnSeconds = 600;
constexpr int WorkersPerRack = 8;

std::string jobName(std::size_t job)
{
    return "job-" + std::to_string(job);
}

Resources scaled(const Resources &declared, double cores, double memory)
{
    return Resources{std::llround(static_cast<double>(declared.milliCores) * cores),
                     std::llround(static_cast<double>(declared.memoryBytes) * memory),
                     declared.accelerators,
                     declared.slots};
}

} // namespace

ClusterModel::ClusterModel(const Workload &workload, Placer &placer, std::uint64_t seed)
    : m_workload(workload)
    , m_placer(placer)
    , m_random(seed)
    , m_start(TimePoint() + std::chrono::hours(1))
    , m_now(m_start)
    , m_checkpointedWork(workload.jobs.size(), 0)
    , m_urgentDelay(workload.jobs.size(), -1)
    , m_failedWorkers(workload.jobs.size())
    , m_latencies(Bins, 0)
{
    for (int i = 0; i < workload.workers; ++i) {
        Worker worker;
        worker.name = "worker-" + std::to_string(i);
        worker.rack = "rack-" + std::to_string(i / WorkersPerRack);
        m_workerIndex[worker.name] = m_workers.size();
        m_placer.updateWorker(WorkerOffer{worker.name, worker.rack, workload.capacity, true}, m_now);
        m_workers.push_back(std::move(worker));
    }
}

RunResult ClusterModel::run()
{
    addServiceReplicas();
    for (m_second = 0; m_second < m_workload.seconds; ++m_second) {
        m_now = m_start + std::chrono::seconds(static_cast<int>(m_second));
        applyDomainOutage();
        submitArrivedJobs();
        decide();
        advanceTasks();
        endDueTasks();
        report();
    }
    const double measured = m_workload.seconds - WarmUpSeconds;
    const double capacity = static_cast<double>(m_workload.capacity.milliCores) / 1000 * m_workload.workers;
    m_result.p50 = quantile(0.5);
    m_result.p99 = quantile(0.99);
    m_result.p999 = quantile(0.999);
    m_result.keptCoreHours = (m_workDone - m_workLost) / 3600;
    m_result.lostToEvictionsShare = m_workLostToEvictions / m_workDone;
    m_result.wastedShare = m_workLost / m_workDone;
    m_result.utilization = m_usedCoreSeconds / (capacity * measured);
    m_result.coreHoursDuringOutage = m_workDuringOutage / 3600;
    m_result.missingReplicas = m_missingReplicaShares / m_workload.seconds;
    for (std::size_t job = 0; job < m_workload.jobs.size(); ++job) {
        if (m_workload.jobs[job].urgent && m_workload.jobs[job].cancelledAt < 0 && !m_workload.jobs[job].tooLarge
            && m_workload.jobs[job].arrival + 30 < m_workload.seconds) {
            const double delay = m_urgentDelay[job] < 0 ? m_workload.seconds - m_workload.jobs[job].arrival : m_urgentDelay[job];
            m_result.worstUrgentDelay = std::max(m_result.worstUrgentDelay, delay);
        }
    }
    return m_result;
}

void ClusterModel::addServiceReplicas()
{
    for (std::size_t service = 0; service < m_workload.services.size(); ++service) {
        for (int i = 0; i < m_workload.services[service].replicas; ++i) {
            const std::string id = m_workload.services[service].name + "-" + std::to_string(i);
            m_pendingServices[id] = {service, true};
            m_placer.addPending(pendingOf(id, true, service, 0), m_now);
        }
    }
}

void ClusterModel::submitArrivedJobs()
{
    while (m_nextJob < m_workload.jobs.size() && m_workload.jobs[m_nextJob].arrival <= m_second) {
        const std::string id = jobName(m_nextJob);
        m_jobIndex[id] = m_nextJob;
        m_placer.addPending(pendingOf(id, false, m_workload.jobs[m_nextJob].kind, m_nextJob), m_now);
        ++m_nextJob;
    }
    if (std::fmod(m_second, 1200) != 0) {
        return;
    }
    for (auto entry = m_jobIndex.begin(); entry != m_jobIndex.end();) {
        if (m_workload.jobs[entry->second].cancelledAt == m_second && !m_tasks.contains(entry->first)) {
            m_placer.removePending(entry->first);
            entry = m_jobIndex.erase(entry);
        } else {
            ++entry;
        }
    }
}

void ClusterModel::applyDomainOutage()
{
    const bool leaves = m_second == m_workload.domainOutage.begin;
    if (!leaves && m_second != m_workload.domainOutage.end) {
        return;
    }
    for (std::size_t i = 0; i < m_workers.size() / 3; ++i) {
        m_workers[i].accepting = !leaves;
        m_placer.updateWorker(WorkerOffer{m_workers[i].name, m_workers[i].rack, m_workload.capacity, !leaves}, m_now);
        const std::vector<std::string> tasks = leaves ? m_workers[i].tasks : std::vector<std::string>();
        for (const std::string &id : tasks) {
            Task &task = m_tasks[id];
            if (task.service) {
                end(id, false, false, true);
            } else if (task.evictedAt < 0) {
                task.evictedAt = m_second + EvictionSeconds;
            }
        }
    }
}

void ClusterModel::decide()
{
    for (const PlacementDecision &decision : m_placer.decide(m_now, 1000)) {
        std::visit(Overloaded{
                       [&](const PlaceTask &place) { start(place.jobId, place.worker); },
                       [&](const ThrottleTask &throttle) { m_tasks.at(throttle.jobId).speed = throttle.speedPercent / 100.0; },
                       [&](const EvictTask &evict) {
                           Task &task = m_tasks.at(evict.jobId);
                           if (task.evictedAt < 0) {
                               task.evictedAt = m_second + EvictionSeconds;
                               m_result.evictions += 1;
                           }
                       },
                       [&](const RejectJob &reject) {
                           const JobModel &job = m_workload.jobs[m_jobIndex.at(reject.jobId)];
                           m_result.wrongRejections += job.broken || job.tooLarge ? 0 : 1;
                           m_jobIndex.erase(reject.jobId);
                       },
                   },
                   decision);
    }
}

void ClusterModel::start(const std::string &jobId, const std::string &worker)
{
    Task task;
    task.id = jobId;
    task.worker = m_workerIndex.at(worker);
    task.startedAt = m_second;
    const auto service = m_pendingServices.find(jobId);
    if (service != m_pendingServices.end()) {
        task.service = true;
        task.kind = service->second.first;
        m_pendingServices.erase(service);
    } else {
        task.job = m_jobIndex.at(jobId);
        const JobModel &job = m_workload.jobs[task.job];
        task.kind = job.kind;
        task.workDone = m_checkpointedWork[task.job];
        task.checkpointedWork = task.workDone;
        const auto &bad = m_workload.failingWorkers;
        const bool workerFails = m_second >= m_workload.failurePeriod.begin && m_second < m_workload.failurePeriod.end
            && std::find(bad.begin(), bad.end(), static_cast<int>(task.worker)) != bad.end();
        if (workerFails) {
            task.failsAt = m_second + WorkerFaultSeconds;
        } else if (job.broken) {
            task.failsAt = m_second + BrokenJobSeconds;
        }
        if (m_urgentDelay[task.job] < 0) {
            m_urgentDelay[task.job] = m_second - job.arrival;
        }
    }
    m_workers[task.worker].tasks.push_back(jobId);
    m_tasks[jobId] = std::move(task);
}

void ClusterModel::advanceTasks()
{
    for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
        advanceWorker(worker);
        serveRequests(worker);
        killOnMemoryOveruse(worker);
        if (m_second >= WarmUpSeconds) {
            m_usedCoreSeconds += std::min(m_workers[worker].usedCores, static_cast<double>(m_workload.capacity.milliCores) / 1000);
        }
    }
    double replicas = 0;
    for (const ServiceModel &service : m_workload.services) {
        replicas += service.replicas;
    }
    m_missingReplicaShares += static_cast<double>(m_pendingServices.size()) / replicas;
}

void ClusterModel::advanceWorker(std::size_t worker)
{
    Worker &host = m_workers[worker];
    host.usedCores = 0;
    host.usedMemory = 0;
    for (const std::string &id : host.tasks) {
        const Resources usage = usageOf(m_tasks[id]);
        host.usedCores += static_cast<double>(usage.milliCores) / 1000;
        host.usedMemory += static_cast<double>(usage.memoryBytes);
    }
    const double cores = static_cast<double>(m_workload.capacity.milliCores) / 1000;
    const double granted = host.usedCores > cores ? cores / host.usedCores : 1;
    for (const std::string &id : host.tasks) {
        Task &task = m_tasks[id];
        if (task.service) {
            continue;
        }
        const double step = task.speed * granted;
        task.workDone += step;
        const double coreSeconds = step * coresOf(task.job);
        m_workDone += coreSeconds;
        if (m_second >= m_workload.domainOutage.begin && m_second < m_workload.domainOutage.end + AfterReturnSeconds) {
            m_workDuringOutage += coreSeconds;
        }
        const double running = m_second - task.startedAt;
        if (m_workload.kinds[task.kind].checkpoints && running > 0 && std::fmod(running, CheckpointInterval) == 0) {
            task.checkpointedWork = task.workDone;
        }
    }
}

void ClusterModel::serveRequests(std::size_t worker)
{
    const Worker &host = m_workers[worker];
    const double load = host.usedCores * 1000 / static_cast<double>(m_workload.capacity.milliCores);
    const auto &batchEffect = m_workload.batchEffect[m_second < m_workload.seconds / 2 ? 0 : 1];
    std::normal_distribution<double> normal;
    for (const std::string &id : host.tasks) {
        Task &task = m_tasks[id];
        if (!task.service) {
            continue;
        }
        double slowdown = 0;
        for (const std::string &other : host.tasks) {
            const Task &colocated = m_tasks[other];
            if (colocated.service) {
                slowdown += other == id ? 0 : m_workload.serviceEffect[task.kind][colocated.kind] * load;
            } else {
                slowdown += batchEffect[task.kind][colocated.kind] * colocated.speed * load;
            }
        }
        const ServiceModel &service = m_workload.services[task.kind];
        const double contention = 1 + ContentionSlope * std::max(0.0, load - ContentionLoad);
        const double median = service.medianMs * (0.9 + 0.2 * serviceDemand(task.kind)) * std::exp(slowdown) * contention;
        task.latencyP99Us = median * P99Factor * 1000 * std::exp(MeasurementNoise * normal(m_random));
        if (m_second < WarmUpSeconds) {
            continue;
        }
        for (int i = 0; i < RequestsPerSecond; ++i) {
            const double latency = std::log(median / service.objectiveMs) + RequestSigma * normal(m_random);
            const double bin = std::clamp((latency - LowestBin) / BinWidth, 0.0, static_cast<double>(Bins - 1));
            ++m_latencies[static_cast<std::size_t>(bin)];
            ++m_requests;
        }
    }
}

void ClusterModel::killOnMemoryOveruse(std::size_t worker)
{
    Worker &host = m_workers[worker];
    if (host.usedMemory <= static_cast<double>(m_workload.capacity.memoryBytes)) {
        return;
    }
    Task *worst = nullptr;
    double most = 0;
    for (const std::string &id : host.tasks) {
        Task &task = m_tasks[id];
        const double over = task.service ? 0 : m_workload.kinds[task.kind].memoryRatio;
        if (over > most) {
            worst = &task;
            most = over;
        }
    }
    if (worst) {
        worst->failsAt = m_second;
    }
}

void ClusterModel::endDueTasks()
{
    std::vector<std::string> batch;
    for (const auto &entry : m_tasks) {
        if (!entry.second.service) {
            batch.push_back(entry.first);
        }
    }
    for (const std::string &id : batch) {
        const Task &task = m_tasks[id];
        if (task.failsAt >= 0 && m_second >= task.failsAt) {
            end(id, true, false, true);
        } else if (task.workDone >= m_workload.jobs[task.job].workSeconds) {
            end(id, false, true, false);
        } else if (task.evictedAt >= 0 && m_second >= task.evictedAt) {
            end(id, false, false, true);
        }
    }
}

void ClusterModel::end(const std::string &taskId, bool failed, bool finished, bool requeue)
{
    const Task task = m_tasks[taskId];
    Worker &host = m_workers[task.worker];
    if (failed) {
        m_placer.reportFailure(taskId, host.name, m_now);
    } else if (finished) {
        m_placer.reportSuccess(taskId, host.name, m_now);
    }
    if (!task.service) {
        const bool evicted = !failed && !finished;
        const double kept = finished || (evicted && m_workload.kinds[task.kind].checkpoints) ? task.workDone : task.checkpointedWork;
        const double lost = (task.workDone - kept) * coresOf(task.job);
        m_workLost += lost;
        m_workLostToEvictions += evicted && host.accepting ? lost : 0;
        m_checkpointedWork[task.job] = kept;
        if (failed) {
            m_failedWorkers[task.job].push_back(host.name);
        }
        if (finished) {
            m_result.completedTasks += 1;
            m_jobIndex.erase(taskId);
        }
    }
    m_placer.release(taskId);
    std::erase(host.tasks, taskId);
    m_tasks.erase(taskId);
    if (!requeue) {
        return;
    }
    if (task.service) {
        m_pendingServices[taskId] = {task.kind, true};
    }
    m_placer.addPending(pendingOf(taskId, task.service, task.kind, task.job), m_now);
}

void ClusterModel::report()
{
    std::vector<UsageSample> samples;
    for (const auto &entry : m_tasks) {
        const Task &task = entry.second;
        UsageSample sample;
        sample.jobId = task.id;
        sample.usage = usageOf(task);
        sample.age = std::chrono::seconds(ReportLag);
        sample.progress = task.service ? 0 : std::min(1.0, task.workDone / m_workload.jobs[task.job].workSeconds);
        sample.hasCheckpoint = !task.service && m_workload.kinds[task.kind].checkpoints && task.checkpointedWork > 0;
        sample.serviceLatencyP99Us = task.latencyP99Us;
        samples.push_back(std::move(sample));
    }
    m_delayedSamples.push_back(std::move(samples));
    if (m_delayedSamples.size() <= ReportLag) {
        return;
    }
    for (const UsageSample &sample : m_delayedSamples.front()) {
        m_placer.reportUsage(sample, m_now);
    }
    m_delayedSamples.pop_front();
}

PendingTask ClusterModel::pendingOf(const std::string &taskId, bool service, std::size_t kind, std::size_t job) const
{
    PendingTask task;
    task.jobId = taskId;
    task.customer = m_workload.contract.customer;
    if (service) {
        task.service = m_workload.services[kind].name;
        task.taskName = task.service;
        task.declared = m_workload.services[kind].declared;
        return task;
    }
    task.team = m_workload.jobs[job].team;
    task.taskName = m_workload.kinds[kind].name;
    task.declared = m_workload.kinds[kind].declared;
    if (m_workload.jobs[job].tooLarge) {
        task.declared.milliCores = 2 * m_workload.capacity.milliCores;
    }
    task.declaredRunTime = std::chrono::milliseconds(std::llround(m_workload.kinds[kind].declaredSeconds * 1000));
    task.urgent = m_workload.jobs[job].urgent;
    task.avoidedWorkers = m_failedWorkers[job];
    return task;
}

double ClusterModel::serviceDemand(std::size_t service) const
{
    return 0.75 + 0.25 * std::sin(m_second / 3600 * 2 * M_PI + static_cast<double>(service));
}

Resources ClusterModel::usageOf(const Task &task) const
{
    if (task.service) {
        const ServiceModel &service = m_workload.services[task.kind];
        return scaled(service.declared, service.coreRatio * serviceDemand(task.kind), 0.8);
    }
    const BatchKindModel &kind = m_workload.kinds[task.kind];
    return scaled(kind.declared, kind.coreRatio * task.speed, kind.memoryRatio);
}

double ClusterModel::coresOf(std::size_t job) const
{
    return static_cast<double>(m_workload.kinds[m_workload.jobs[job].kind].declared.milliCores) / 1000;
}

double ClusterModel::quantile(double share) const
{
    const double wanted = share * static_cast<double>(m_requests);
    double seen = 0;
    for (std::size_t bin = 0; bin < Bins; ++bin) {
        seen += static_cast<double>(m_latencies[bin]);
        if (seen >= wanted) {
            return std::exp(LowestBin + (static_cast<double>(bin) + 0.5) * BinWidth);
        }
    }
    return 0;
}

} // namespace Hyssop::Bench
