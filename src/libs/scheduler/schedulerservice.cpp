#include "schedulerservice.h"

#include <instance/configservice.h>
#include <instance/peerservice.h>
#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <platform/logappender.h>
#include <platform/logclient.h>
#include <platform/logtailer.h>
#include <platform/workerclient.h>
#include <schedulercore/schedulercore.h>
#include <utils/overloaded.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::chrono::milliseconds TickInterval{50};
constexpr std::chrono::milliseconds WorkerTimeout{800};
// The result of an append is resolved by reading the stream, for as long as a log outage may last. Later appends wait
// meanwhile, so that the order of the owner's records is kept.
constexpr std::chrono::hours ResolveTimeout{1};

static std::string jobStream(const std::string &domain)
{
    return "jobs." + domain;
}

static TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

static std::chrono::milliseconds wallClock()
{
    return sinceEpoch(std::chrono::system_clock::now());
}

// GCC 12 can't compile initializer lists inside a coroutine, so these functions build them.
static std::vector<Wire::Record> singleRecord(const Wire::Record &record)
{
    return {record};
}

static MetricLabels customerLabel(const std::string &customer)
{
    return {{"customer", customer}};
}

static Wire::JobSubmitReply submitReply(Wire::SubmitVerdict::type verdict, const std::string &message)
{
    Wire::JobSubmitReply reply;
    reply.verdict = verdict;
    reply.message = message;
    return reply;
}

static Wire::JobSubmitReply toSubmitReply(const AppendOutcome &outcome)
{
    return std::visit(
        Overloaded{
            [](const Appended &) { return submitReply(Wire::SubmitVerdict::Queued, ""); },
            [](const AppendRejected &rejected) { return submitReply(Wire::SubmitVerdict::NotRun, "the platform log refused the record: " + rejected.reason); },
            [](const AppendUndetermined &undetermined) {
                return submitReply(Wire::SubmitVerdict::Undetermined, "the platform log did not answer: " + undetermined.reason);
            },
        },
        outcome);
}

static void logStart(const StartTask &action, CommandOutcome reply)
{
    logMessage(LogLevel::Info,
               "scheduler",
               "sent start command",
               {{"job_id", action.spec.jobId},
                {"attempt", action.attempt},
                {"worker", action.worker},
                {"epoch", action.epoch},
                {"done", reply == CommandOutcome::Executed}});
}

static void logRenewalFailure(const RenewLease &action, const Error &error)
{
    logMessage(LogLevel::Debug, "scheduler", "lease renewal failed", {{"worker", action.worker}, {"epoch", action.epoch}, {"error", error.message}});
}

static SchedulerCoreOptions coreOptions(const SchedulerServiceOptions &options)
{
    SchedulerCoreOptions core;
    core.instance = options.instance;
    core.incarnation = options.incarnation;
    core.domain = options.domain;
    core.leaseDuration = options.leaseDuration;
    core.permitDuration = options.permitDuration;
    core.seed = std::hash<std::string>()(options.instance);
    return core;
}

struct SchedulerServiceState : std::enable_shared_from_this<SchedulerServiceState>
{
    SchedulerServiceState(const asio::any_io_executor &serviceExecutor, const SchedulerServiceParts &serviceParts, SchedulerServiceOptions serviceOptions)
        : executor(serviceExecutor)
        , parts(serviceParts)
        , options(std::move(serviceOptions))
        , core(coreOptions(options))
        , workers(parts.http)
        , tailer(parts.log, jobStream(options.domain), parts.metrics)
        , timer(executor)
    {
    }

    LogAppender &appender(const std::string &domain);
    void applyBatch(std::int64_t offset, WallTime time, const Wire::RecordBatch &batch);
    void applyConfiguration();
    void reportStreamRead();
    void reportMetrics();
    void publishTargets();

    asio::awaitable<void> run();
    asio::awaitable<void> execute(SchedulerAction action);
    asio::awaitable<void> perform(const RenewLease &action);
    asio::awaitable<void> perform(const StartTask &action);
    asio::awaitable<void> perform(const StopTask &action);
    asio::awaitable<void> perform(const RequestCheckpoint &action);
    asio::awaitable<void> perform(const SetThrottle &action);
    asio::awaitable<void> perform(const ForgetTask &action);
    asio::awaitable<void> perform(const Propose &action);
    asio::awaitable<void> perform(const ProposeClaim &action);
    asio::awaitable<void> perform(const ProposeTransfer &action);
    asio::awaitable<void> sendTaskCommand(SchedulerAction action, std::string verb, std::string worker, std::int64_t epoch, std::string jobId, int attempt);

    asio::any_io_executor executor;
    SchedulerServiceParts parts;
    SchedulerServiceOptions options;
    SchedulerCore core;
    WorkerClient workers;
    LogTailer tailer;
    std::map<std::string, std::unique_ptr<LogAppender>> appenders;
    asio::steady_timer timer;
    std::uint64_t configGeneration = 0;
    std::int64_t targetsVersion = 0;
    std::vector<Wire::Target> publishedTargets;
    bool wasOwner = false;
    bool stopped = false;
};

LogAppender &SchedulerServiceState::appender(const std::string &domain)
{
    auto &appender = appenders[domain];
    if (!appender) {
        AppenderOptions appenderOptions;
        appenderOptions.batchDelay = options.batchDelay;
        appenderOptions.maximumAppendsPerSecond = options.maximumAppendsPerSecond;
        appenderOptions.resolveTimeout = ResolveTimeout;
        appender = std::make_unique<LogAppender>(executor, parts.log, jobStream(domain), options.instance, appenderOptions, parts.metrics);
    }
    return *appender;
}

void SchedulerServiceState::applyBatch(std::int64_t offset, WallTime time, const Wire::RecordBatch &batch)
{
    const TimePoint now = currentTime();
    int index = 0;
    for (const Wire::Record &record : batch.records) {
        core.apply({offset, index}, time, record, now);
        ++index;
    }
}

void SchedulerServiceState::reportStreamRead()
{
    if (tailer.caughtUp() && tailer.headVerifiedAt() && tailer.appliedUpTo() >= tailer.head()) {
        core.jobStreamRead(tailer.head(), *tailer.headVerifiedAt(), currentTime());
    }
}

void SchedulerServiceState::applyConfiguration()
{
    const TimePoint now = currentTime();
    if (const auto age = parts.config.headAge(now)) {
        core.setConfigVerifiedAt(now - *age);
    }
    if (!parts.config.ready() || parts.config.generation() == configGeneration) {
        return;
    }
    configGeneration = parts.config.generation();
    std::vector<Contract> contracts;
    for (const ContractInForce &inForce : parts.config.contracts()) {
        contracts.push_back(inForce.contract);
    }
    core.setContracts(contracts, now);
    std::vector<std::string> domainsInService;
    for (const std::string &domain : options.domains) {
        if (domain != options.domain && parts.config.isDomainInService(domain)) {
            domainsInService.push_back(domain);
        }
    }
    core.setDomainState(parts.config.isDomainInService(options.domain), domainsInService, now);
}

void SchedulerServiceState::reportMetrics()
{
    parts.metrics.set("hyssop_scheduler_owner", core.owner() ? 1 : 0);
    parts.metrics.set("hyssop_scheduler_term", static_cast<double>(core.term()));
    parts.metrics.set("hyssop_scheduler_pending_jobs", static_cast<double>(core.pendingCount()));
    parts.metrics.set("hyssop_scheduler_running_tasks", static_cast<double>(core.runningCount()));
    parts.metrics.set("hyssop_scheduler_workers", static_cast<double>(core.workerCount()));
    if (core.owner() != wasOwner) {
        wasOwner = core.owner();
        logMessage(LogLevel::Info, "scheduler", wasOwner ? "became owner" : "no longer owner", {{"epoch", core.term()}, {"domain", options.domain}});
    }
}

void SchedulerServiceState::publishTargets()
{
    std::vector<Wire::Target> targets = core.targets();
    if (targets != publishedTargets) {
        publishedTargets = std::move(targets);
        ++targetsVersion;
    }
}

asio::awaitable<void> SchedulerServiceState::run()
{
    const auto self = shared_from_this();
    core.setWorkers(options.workers, currentTime());
    while (!stopped) {
        applyConfiguration();
        reportStreamRead();
        if (parts.config.ready() && tailer.caughtUp()) {
            for (SchedulerAction &action : core.tick(currentTime())) {
                asio::co_spawn(executor, execute(std::move(action)), asio::detached);
            }
        }
        publishTargets();
        reportMetrics();
        timer.expires_after(TickInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> SchedulerServiceState::execute(SchedulerAction action)
{
    const auto self = shared_from_this();
    co_await std::visit([this](const auto &typed) { return perform(typed); }, action);
}

asio::awaitable<void> SchedulerServiceState::perform(const RenewLease &action)
{
    const TimePoint sentAt = currentTime();
    const std::string holder = options.instance + "/" + std::to_string(options.incarnation);
    auto reply = co_await workers.renewLease(action.worker, holder, action.epoch, action.duration, action.notAfter, WorkerTimeout);
    if (const Error *error = errorOf(reply)) {
        logRenewalFailure(action, *error);
        parts.metrics.add("hyssop_scheduler_lease_failures_total");
        core.leaseFailed(action.worker, currentTime());
        co_return;
    }
    LeaseResult &lease = *valueOf(reply);
    lease.status.worker = action.worker;
    core.leaseAnswered(action.worker, lease, sentAt, currentTime());
}

asio::awaitable<void> SchedulerServiceState::perform(const StartTask &action)
{
    WorkerTask task{action.spec, action.attempt, action.checkpoint, action.notAfter};
    const CommandOutcome reply = co_await workers.start(action.worker, action.epoch, std::move(task), WorkerTimeout);
    parts.metrics.add("hyssop_scheduler_start_commands_total");
    logStart(action, reply);
    core.commandAnswered(action, reply, currentTime());
}

asio::awaitable<void>
SchedulerServiceState::sendTaskCommand(SchedulerAction action, std::string verb, std::string worker, std::int64_t epoch, std::string jobId, int attempt)
{
    const CommandOutcome reply = co_await workers.command(std::move(worker), std::move(verb), epoch, std::move(jobId), attempt, WorkerTimeout);
    core.commandAnswered(action, reply, currentTime());
}

asio::awaitable<void> SchedulerServiceState::perform(const StopTask &action)
{
    return sendTaskCommand(action, "stop", action.worker, action.epoch, action.jobId, action.attempt);
}

asio::awaitable<void> SchedulerServiceState::perform(const RequestCheckpoint &action)
{
    return sendTaskCommand(action, "checkpoint", action.worker, action.epoch, action.jobId, action.attempt);
}

asio::awaitable<void> SchedulerServiceState::perform(const ForgetTask &action)
{
    return sendTaskCommand(action, "forget", action.worker, action.epoch, action.jobId, action.attempt);
}

asio::awaitable<void> SchedulerServiceState::perform(const SetThrottle &action)
{
    const CommandOutcome reply = co_await workers.throttle(action.worker, action.epoch, action.jobId, action.attempt, action.speedPercent, WorkerTimeout);
    core.commandAnswered(action, reply, currentTime());
}

asio::awaitable<void> SchedulerServiceState::perform(const Propose &action)
{
    const AppendOutcome outcome = co_await appender(options.domain).append(singleRecord(action.record));
    if (std::holds_alternative<AppendRejected>(outcome)) {
        core.proposalFailed(action.id, currentTime());
    }
}

asio::awaitable<void> SchedulerServiceState::perform(const ProposeClaim &action)
{
    Wire::Record record;
    record.__set_ownershipClaim(action.claim);
    const AppendOutcome outcome = co_await appender(options.domain).appendInOwnBatch(singleRecord(record));
    if (std::holds_alternative<AppendRejected>(outcome)) {
        core.proposalFailed(action.id, currentTime());
    }
}

asio::awaitable<void> SchedulerServiceState::perform(const ProposeTransfer &action)
{
    Wire::Record record;
    record.__set_jobSubmitted(action.submission);
    const AppendOutcome outcome = co_await appender(action.toDomain).append(Internal::singleRecord(record));
    if (std::holds_alternative<Appended>(outcome)) {
        core.transferAppended(action.id, currentTime());
        co_return;
    }
    // A submission with the same transfer id is accepted once, so it can be repeated safely.
    core.proposalFailed(action.id, currentTime());
}

} // namespace Internal

SchedulerService::SchedulerService(asio::any_io_executor executor, SchedulerServiceParts parts, SchedulerServiceOptions options)
    : m_state(std::make_shared<Internal::SchedulerServiceState>(executor, parts, std::move(options)))
{
    Internal::SchedulerServiceState *state = m_state.get();
    state->tailer.setBatchHandler([state](std::int64_t offset, WallTime time, const Wire::RecordBatch &batch) { state->applyBatch(offset, time, batch); });
    state->tailer.setReadHandler([state](std::int64_t, std::int64_t) {
        state->reportStreamRead();
        state->timer.cancel();
    });
}

SchedulerService::~SchedulerService()
{
    stop();
}

void SchedulerService::start()
{
    const auto state = m_state;
    asio::co_spawn(state->executor, state->run(), asio::detached);
    asio::co_spawn(state->executor, state->tailer.run(), [state](const std::exception_ptr &) {});
}

void SchedulerService::stop()
{
    m_state->stopped = true;
    m_state->tailer.stop();
    m_state->timer.cancel();
}

bool SchedulerService::ready() const
{
    return !m_state->stopped && m_state->parts.config.ready() && m_state->tailer.caughtUp();
}

asio::awaitable<Outcome<Wire::JobSubmitReply>> SchedulerService::submit(Wire::JobSpec spec)
{
    const auto state = m_state;
    if (!ready()) {
        co_return Error{ErrorCode::Unavailable, "this instance has not read the job stream yet"};
    }
    if (state->core.hasJob(spec.jobId)) {
        co_return Internal::submitReply(Wire::SubmitVerdict::Queued, "the job is known");
    }
    if (!state->parts.config.isDomainInService(state->options.domain)) {
        co_return Error{ErrorCode::Refused, "the failure domain " + state->options.domain + " is out of service"};
    }
    state->parts.metrics.add("hyssop_scheduler_submissions_total", Internal::customerLabel(spec.customer));
    Wire::JobSubmitted submitted;
    submitted.spec = spec;
    submitted.submittedAtMs = Internal::wallClock().count();
    Wire::Record record;
    record.__set_jobSubmitted(submitted);
    co_return Internal::toSubmitReply(co_await state->appender(state->options.domain).append(Internal::singleRecord(record)));
}

asio::awaitable<Outcome<Wire::JobSubmitReply>> SchedulerService::cancel(Wire::JobCancelRequest request)
{
    const auto state = m_state;
    if (!ready()) {
        co_return Error{ErrorCode::Unavailable, "this instance has not read the job stream yet"};
    }
    if (!state->core.hasJob(request.jobId)) {
        co_return Error{ErrorCode::NotFound, "unknown job " + request.jobId};
    }
    Wire::JobCancelled cancelled;
    cancelled.jobId = request.jobId;
    cancelled.operatorName = request.operatorName;
    Wire::Record record;
    record.__set_jobCancelled(cancelled);
    co_return Internal::toSubmitReply(co_await state->appender(state->options.domain).append(Internal::singleRecord(record)));
}

Wire::JobQueryReply SchedulerService::jobs(const Wire::JobQuery &query) const
{
    Wire::JobQueryReply reply;
    reply.jobs = m_state->core.jobs(query);
    reply.term = m_state->core.term();
    return reply;
}

Wire::TargetsReply SchedulerService::targets(const Wire::TargetsRequest &request)
{
    Wire::TargetsReply reply;
    // Only the owner receives the status of workers, so a standby has nothing to publish.
    if (!m_state->core.owner()) {
        reply.version = request.knownVersion;
        return reply;
    }
    reply.source = m_state->options.instance;
    reply.version = m_state->targetsVersion;
    reply.changed = request.knownVersion != reply.version;
    if (reply.changed) {
        reply.targets = m_state->publishedTargets;
    }
    return reply;
}

Wire::StatusReply SchedulerService::status() const
{
    Wire::StatusReply reply;
    reply.instance = m_state->options.instance;
    reply.domain = m_state->options.domain;
    reply.incarnation = m_state->options.incarnation;
    reply.ready = ready();
    reply.owner = m_state->core.owner();
    reply.term = m_state->core.term();
    reply.configHead = m_state->parts.config.appliedUpTo();
    const auto age = m_state->parts.config.headAge(Internal::currentTime());
    reply.configAgeMs = age ? age->count() : -1;
    reply.peers = m_state->parts.peers.peers();
    reply.pendingJobs = static_cast<std::int32_t>(m_state->core.pendingCount());
    reply.runningTasks = static_cast<std::int32_t>(m_state->core.runningCount());
    reply.workers = static_cast<std::int32_t>(m_state->core.workerCount());
    constexpr std::chrono::seconds LogReachableWithin{2};
    const auto seen = m_state->tailer.headVerifiedAt();
    reply.logReachable = seen && Internal::currentTime() - *seen < LogReachableWithin;
    return reply;
}

void SchedulerService::fillHeartbeat(Wire::Heartbeat &heartbeat) const
{
    heartbeat.role = "scheduler";
    heartbeat.term = m_state->core.term();
    heartbeat.owner = m_state->core.owner();
}

void SchedulerService::handleHeartbeat(const Wire::Heartbeat &heartbeat)
{
    const TimePoint now = Internal::currentTime();
    if (heartbeat.configAgeMs >= 0) {
        m_state->parts.config.peerHeadReceived(heartbeat.configHead, std::chrono::milliseconds(heartbeat.configAgeMs), now);
    }
    const bool fromDomain = heartbeat.domain == m_state->options.domain && heartbeat.instance != m_state->options.instance;
    // A heartbeat from a standby that has read a newer claim also ends the ownership of an owner that can't read the
    // stream.
    if (fromDomain && (heartbeat.owner || heartbeat.term > m_state->core.term())) {
        m_state->core.ownerHeartbeatReceived(heartbeat.term, now);
    }
}

} // namespace Hyssop
