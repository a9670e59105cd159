#include "gatewaydaemon.h"

#include "gatewayserver.h"
#include "gatewaysettings.h"
#include "instancepoller.h"
#include "platformrequestlog.h"
#include "targetpoller.h"

#include <instance/adminserver.h>
#include <instance/instanceparts.h>
#include <observability/logging.h>
#include <utils/endpoint.h>
#include <wire/errormessage.h>
#include <wire/rpcserver.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::chrono::milliseconds TargetPollInterval{250};
constexpr std::chrono::milliseconds InstancePollInterval{1000};

struct GatewayDaemonState : std::enable_shared_from_this<GatewayDaemonState>
{
    GatewayDaemonState(asio::io_context &ioContext, const Settings &daemonSettings);

    void start();
    void stop();
    bool ready() const;
    void applyContracts();
    Wire::Heartbeat heartbeat() const;
    Wire::StatusReply status() const;
    Wire::Message reply(const Wire::Message &request);

    asio::io_context &context;
    Settings settings;
    InstanceParts parts;
    PlatformRequestLog requestLog;
    GatewayServer gateway;
    TargetPoller targetPoller;
    InstancePoller instancePoller;
    RpcServer rpcServer;
    AdminServer administration;
    asio::signal_set signals;
};

using GatewayDaemonStatePtr = std::shared_ptr<GatewayDaemonState>;

static asio::awaitable<Wire::Message> handleRpc(GatewayDaemonState &state, const Wire::Message &request)
{
    co_return state.reply(request);
}

GatewayDaemonState::GatewayDaemonState(asio::io_context &ioContext, const Settings &daemonSettings)
    : context(ioContext)
    , settings(daemonSettings)
    , parts(context, settings)
    , requestLog(context.get_executor(), parts.log, parts.domain, parts.name, static_cast<double>(settings.integer("log.maximum_appends")), parts.metrics)
    , gateway(context.get_executor(), gatewayOptions(settings), parts.metrics, &requestLog)
    , targetPoller(context.get_executor(), parts.rpc, parts.metrics, settings.list("gateway.schedulers"))
    , instancePoller(context.get_executor(), parts.http, parts.metrics, settings.text("gateway.instance_list"))
    , rpcServer(context.get_executor(), endpointSetting(settings, "instance.rpc"), [this](const Wire::Message &request) { return handleRpc(*this, request); })
    , administration(
          context.get_executor(),
          endpointSetting(settings, "instance.admin"),
          parts.metrics,
          [this] { return ready(); },
          settings.text("metrics.enabled") == "yes")
    , signals(context, SIGTERM, SIGINT)
{
}

static asio::awaitable<void> drainAndStop(GatewayDaemonStatePtr state)
{
    const auto acceptTime = millisecondsSetting(state->settings, "gateway.drain_accept");
    const auto finishTime = millisecondsSetting(state->settings, "gateway.drain_finish");
    const int remaining = co_await state->gateway.drain(acceptTime, finishTime);
    logMessage(LogLevel::Info, "gateway", "drain finished", {{"requests_left", remaining}});
    state->stop();
    state->context.stop();
}

void GatewayDaemonState::start()
{
    parts.config.setChangeHandler([this] { applyContracts(); });
    parts.config.start();
    requestLog.start();
    parts.peers.start([this] { return heartbeat(); },
                      [this](const Wire::Heartbeat &peer) {
                          parts.config.peerHeadReceived(peer.configHead, std::chrono::milliseconds(peer.configAgeMs), std::chrono::steady_clock::now());
                      });
    targetPoller.start(TargetPollInterval, [this](const std::vector<Wire::Target> &targets) { gateway.applyPublication(targets); });
    instancePoller.start(InstancePollInterval, [this](const std::vector<InstanceState> &instances) {
        std::vector<ListedInstance> listed;
        listed.reserve(instances.size());
        for (const InstanceState &instance : instances) {
            listed.push_back({instance.id, instance.address, instance.leaving});
        }
        gateway.applyInstances(listed);
    });
    gateway.start();
    rpcServer.start();
    administration.start();
    signals.async_wait([self = shared_from_this()](const boost::system::error_code &error, int signal) {
        if (!error) {
            logMessage(LogLevel::Info, "gateway", "drain started", {{"signal", signal}});
            asio::co_spawn(self->context, drainAndStop(self), asio::detached);
        }
    });
    logMessage(LogLevel::Info, "gateway", "started", {{"listen", formatEndpoint(gateway.localEndpoint())}});
}

void GatewayDaemonState::stop()
{
    targetPoller.stop();
    instancePoller.stop();
    parts.peers.stop();
    parts.config.stop();
    requestLog.stop();
    gateway.stop();
    rpcServer.stop();
    administration.stop();
}

bool GatewayDaemonState::ready() const
{
    return parts.config.ready() && !gateway.draining() && targetPoller.lastReplyTime() != TimePoint();
}

void GatewayDaemonState::applyContracts()
{
    if (!parts.config.ready()) {
        return;
    }
    std::vector<Contract> contracts;
    for (const ContractInForce &entry : parts.config.contracts()) {
        contracts.push_back(entry.contract);
    }
    gateway.setContracts(contracts);
}

Wire::Heartbeat GatewayDaemonState::heartbeat() const
{
    Wire::Heartbeat result = parts.heartbeat();
    result.role = "gateway";
    return result;
}

Wire::StatusReply GatewayDaemonState::status() const
{
    const Wire::Heartbeat own = heartbeat();
    Wire::StatusReply result;
    result.instance = own.instance;
    result.domain = own.domain;
    result.incarnation = own.incarnation;
    result.ready = ready();
    result.configHead = own.configHead;
    result.configAgeMs = own.configAgeMs;
    result.peers = parts.peers.peers();
    result.runningTasks = gateway.requestsInFlight();
    result.logReachable = requestLog.caughtUp();
    return result;
}

Wire::Message GatewayDaemonState::reply(const Wire::Message &request)
{
    Wire::Message message;
    if (request.__isset.heartbeat) {
        message.__set_heartbeat(parts.peers.receive(request.heartbeat));
    } else if (request.__isset.statusRequest) {
        message.__set_statusReply(status());
    } else if (request.__isset.configStateRequest) {
        message.__set_configStateReply(parts.config.state(request.configStateRequest));
    } else {
        message = errorMessage({ErrorCode::InvalidArgument, "a gateway does not answer this message"});
    }
    return message;
}

} // namespace Internal

GatewayDaemon::GatewayDaemon(asio::io_context &context, const Settings &settings)
    : m_state(std::make_shared<Internal::GatewayDaemonState>(context, settings))
{
}

GatewayDaemon::~GatewayDaemon()
{
    m_state->stop();
}

void GatewayDaemon::start()
{
    m_state->start();
}

} // namespace Hyssop
