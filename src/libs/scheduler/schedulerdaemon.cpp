#include "schedulerdaemon.h"

#include "schedulerservice.h"

#include <instance/adminserver.h>
#include <instance/instanceparts.h>
#include <observability/logging.h>
#include <operators/operatorhandler.h>
#include <utils/endpoint.h>
#include <wire/errormessage.h>
#include <wire/rpcserver.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

// The daemon reports itself as not ready for this long before the RPC server stops, so that replies in flight reach
// their callers.
constexpr std::chrono::milliseconds DrainTime{500};
// Longer than an append to the log takes that still succeeds.
constexpr std::chrono::milliseconds FinishTime{5000};
constexpr std::chrono::milliseconds FinishCheckInterval{10};

struct SchedulerDaemonState : std::enable_shared_from_this<SchedulerDaemonState>
{
    SchedulerDaemonState(asio::io_context &ioContext, const Settings &daemonSettings);

    void start();
    void stop();
    Wire::Heartbeat heartbeat() const;
    asio::awaitable<void> drainAndStop();
    asio::awaitable<Wire::Message> answer(const Wire::Message &request);
    OperatorFunctions operatorFunctions();

    asio::io_context &context;
    Settings settings;
    InstanceParts parts;
    SchedulerService scheduler;
    OperatorHandler operators;
    RpcServer rpcServer;
    AdminServer administration;
    asio::signal_set signals;
    bool draining = false;
};

static SchedulerServiceOptions serviceOptions(const Settings &settings, const InstanceParts &parts)
{
    SchedulerServiceOptions options;
    options.instance = parts.name;
    options.domain = parts.domain;
    options.incarnation = parts.incarnation;
    options.domains = settings.list("scheduler.failure_domains");
    options.workers = settings.list("scheduler.workers");
    options.leaseDuration = millisecondsSetting(settings, "scheduler.lease");
    options.permitDuration = millisecondsSetting(settings, "scheduler.permit");
    options.batchDelay = millisecondsSetting(settings, "scheduler.batch_delay");
    options.maximumAppendsPerSecond = static_cast<double>(settings.integer("log.maximum_appends"));
    return options;
}

SchedulerDaemonState::SchedulerDaemonState(asio::io_context &ioContext, const Settings &daemonSettings)
    : context(ioContext)
    , settings(daemonSettings)
    , parts(context, settings)
    , scheduler(context.get_executor(), {parts.http, parts.log, parts.config, parts.peers, parts.metrics}, serviceOptions(settings, parts))
    , operators(operatorFunctions())
    , rpcServer(context.get_executor(), endpointSetting(settings, "instance.rpc"), [this](const Wire::Message &request) { return answer(request); })
    , administration(
          context.get_executor(),
          endpointSetting(settings, "instance.admin"),
          parts.metrics,
          [this] { return !draining && scheduler.ready(); },
          settings.text("metrics.enabled") == "yes")
    , signals(context, SIGTERM, SIGINT)
{
}

OperatorFunctions SchedulerDaemonState::operatorFunctions()
{
    OperatorFunctions functions;
    functions.applyChange = [this](Wire::ConfigChange change) { return parts.config.apply(std::move(change)); };
    functions.configState = [this](const Wire::ConfigStateRequest &request) { return parts.config.state(request); };
    functions.audit = [this](const Wire::AuditRequest &request) { return parts.config.audit(request); };
    functions.contract = [this](const std::string &customer) -> std::optional<Contract> {
        const auto inForce = parts.config.contract(customer);
        return inForce ? std::optional(inForce->contract) : std::nullopt;
    };
    functions.submitJob = [this](Wire::JobSpec spec) { return scheduler.submit(std::move(spec)); };
    functions.cancelJob = [this](Wire::JobCancelRequest request) { return scheduler.cancel(std::move(request)); };
    functions.queryJobs = [this](const Wire::JobQuery &query) { return scheduler.jobs(query); };
    functions.status = [this] { return scheduler.status(); };
    functions.targets = [this](const Wire::TargetsRequest &request) { return scheduler.targets(request); };
    return functions;
}

asio::awaitable<Wire::Message> SchedulerDaemonState::answer(const Wire::Message &request)
{
    if (OperatorHandler::handles(request)) {
        co_return co_await operators.handle(request);
    }
    Wire::Message message;
    if (request.__isset.heartbeat) {
        message.__set_heartbeat(parts.peers.receive(request.heartbeat));
        co_return message;
    }
    const Error error{ErrorCode::InvalidArgument, "a scheduler does not answer this message"};
    co_return errorMessage(error);
}

void SchedulerDaemonState::start()
{
    parts.config.start();
    parts.peers.start([this] { return heartbeat(); }, [this](const Wire::Heartbeat &heartbeat) { scheduler.handleHeartbeat(heartbeat); });
    scheduler.start();
    rpcServer.start();
    administration.start();
    signals.async_wait([self = shared_from_this()](const boost::system::error_code &error, int signal) {
        if (!error) {
            logMessage(LogLevel::Info, "scheduler", "stopping", {{"signal", signal}});
            asio::co_spawn(self->context, self->drainAndStop(), asio::detached);
        }
    });
    logMessage(LogLevel::Info, "scheduler", "started", {{"rpc", settings.text("instance.rpc")}, {"domain", settings.text("instance.failure_domain")}});
}

Wire::Heartbeat SchedulerDaemonState::heartbeat() const
{
    Wire::Heartbeat result = parts.heartbeat();
    scheduler.fillHeartbeat(result);
    return result;
}

asio::awaitable<void> SchedulerDaemonState::drainAndStop()
{
    const auto self = shared_from_this();
    draining = true;
    asio::steady_timer timer(context, DrainTime);
    co_await timer.async_wait(asio::use_awaitable);
    const auto deadline = std::chrono::steady_clock::now() + FinishTime;
    do {
        rpcServer.closeIdleConnections();
        administration.closeIdleConnections();
        timer.expires_after(FinishCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    } while (rpcServer.unfinishedRequests() + administration.unfinishedRequests() > 0 && std::chrono::steady_clock::now() < deadline);
    logMessage(LogLevel::Info, "scheduler", "stopped", {{"open_requests", rpcServer.unfinishedRequests()}});
    stop();
    context.stop();
}

void SchedulerDaemonState::stop()
{
    scheduler.stop();
    parts.peers.stop();
    parts.config.stop();
    rpcServer.stop();
    administration.stop();
}

} // namespace Internal

SchedulerDaemon::SchedulerDaemon(asio::io_context &context, const Settings &settings)
    : m_state(std::make_shared<Internal::SchedulerDaemonState>(context, settings))
{
}

SchedulerDaemon::~SchedulerDaemon()
{
    m_state->stop();
}

void SchedulerDaemon::start()
{
    m_state->start();
}

} // namespace Hyssop
