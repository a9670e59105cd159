#include "schedulerdaemon.h"

#include "schedulerservice.h"

#include <http/httpclient.h>
#include <instance/adminserver.h>
#include <instance/configservice.h>
#include <instance/peerservice.h>
#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <operators/operatorhandler.h>
#include <platform/logclient.h>
#include <utils/endpoint.h>
#include <wire/rpcclient.h>
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

// Readiness falls for this long before the RPC server stops, so that answers in flight reach their callers.
constexpr std::chrono::milliseconds DrainTime{500};

struct SchedulerDaemonState : std::enable_shared_from_this<SchedulerDaemonState>
{
    SchedulerDaemonState(asio::io_context &ioContext, const Settings &daemonSettings);

    void start();
    void stop();
    asio::awaitable<void> drainAndStop();
    asio::awaitable<Wire::Message> answer(const Wire::Message &request);
    OperatorFunctions operatorFunctions();

    asio::io_context &context;
    Settings settings;
    MetricsRegistry metrics;
    HttpClient http;
    RpcClient rpc;
    LogClient log;
    ConfigService config;
    PeerService peers;
    SchedulerService scheduler;
    OperatorHandler operators;
    RpcServer rpcServer;
    AdminServer administration;
    asio::signal_set signals;
    bool draining = false;
};

static asio::ip::tcp::endpoint endpointOf(const Settings &settings, const std::string &key)
{
    auto endpoint = capture([&] { return parseEndpoint(settings.text(key)); });
    return *valueOf(endpoint);
}

static std::chrono::milliseconds millisecondsOf(const Settings &settings, const std::string &key)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(settings.duration(key));
}

static ConfigServiceOptions configOptions(const Settings &settings)
{
    ConfigServiceOptions options;
    options.instance = settings.text("instance.name");
    options.peers = settings.list("instance.peers");
    options.maximumAppendsPerSecond = static_cast<double>(settings.integer("log.maximum_appends"));
    options.retention = millisecondsOf(settings, "log.retention");
    return options;
}

static PeerServiceOptions peerOptions(const Settings &settings)
{
    return {settings.text("instance.name"), settings.text("instance.failure_domain"), settings.list("instance.peers"), settings.list("instance.remote_peers")};
}

static SchedulerServiceOptions serviceOptions(const Settings &settings)
{
    SchedulerServiceOptions options;
    options.instance = settings.text("instance.name");
    options.domain = settings.text("instance.failure_domain");
    options.domains = settings.list("scheduler.failure_domains");
    options.workers = settings.list("scheduler.workers");
    options.rpcAddress = settings.text("instance.rpc");
    options.leaseDuration = millisecondsOf(settings, "scheduler.lease");
    options.permitDuration = millisecondsOf(settings, "scheduler.permit");
    options.batchDelay = millisecondsOf(settings, "scheduler.batch_delay");
    options.maximumAppendsPerSecond = static_cast<double>(settings.integer("log.maximum_appends"));
    return options;
}

SchedulerDaemonState::SchedulerDaemonState(asio::io_context &ioContext, const Settings &daemonSettings)
    : context(ioContext)
    , settings(daemonSettings)
    , http(context.get_executor())
    , rpc(context.get_executor())
    , log(http, settings.text("log.address"))
    , config(context.get_executor(), log, rpc, metrics, configOptions(settings))
    , peers(context.get_executor(), rpc, metrics, peerOptions(settings))
    , scheduler(context.get_executor(), {http, log, config, peers, metrics}, serviceOptions(settings))
    , operators(operatorFunctions())
    , rpcServer(context.get_executor(), endpointOf(settings, "instance.rpc"), [this](const Wire::Message &request) { return answer(request); })
    , administration(
          context.get_executor(),
          endpointOf(settings, "instance.admin"),
          metrics,
          [this] { return !draining && scheduler.ready(); },
          settings.text("metrics.enabled") == "yes")
    , signals(context, SIGTERM, SIGINT)
{
}

OperatorFunctions SchedulerDaemonState::operatorFunctions()
{
    OperatorFunctions functions;
    functions.applyChange = [this](Wire::ConfigChange change) { return config.apply(std::move(change)); };
    functions.configState = [this](const Wire::ConfigStateRequest &request) { return config.state(request); };
    functions.audit = [this](const Wire::AuditRequest &request) { return config.audit(request); };
    functions.contract = [this](const std::string &customer) -> std::optional<Contract> {
        const auto inForce = config.contract(customer);
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
        scheduler.handleHeartbeat(request.heartbeat);
        message.__set_heartbeat(peers.receive(request.heartbeat));
        co_return message;
    }
    Wire::ErrorReply error;
    error.code = errorCodeName(ErrorCode::InvalidArgument);
    error.message = "a scheduler does not answer this message";
    message.__set_error(error);
    co_return message;
}

void SchedulerDaemonState::start()
{
    config.start();
    peers.start([this] { return scheduler.heartbeat(); }, [this](const Wire::Heartbeat &heartbeat) { scheduler.handleHeartbeat(heartbeat); });
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

asio::awaitable<void> SchedulerDaemonState::drainAndStop()
{
    const auto self = shared_from_this();
    draining = true;
    asio::steady_timer timer(context, DrainTime);
    co_await timer.async_wait(asio::use_awaitable);
    stop();
    context.stop();
}

void SchedulerDaemonState::stop()
{
    scheduler.stop();
    peers.stop();
    config.stop();
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
