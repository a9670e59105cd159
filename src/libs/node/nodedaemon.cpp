#include "nodedaemon.h"

#include "detachedtask.h"

#include <instance/instanceparts.h>
#include <observability/logging.h>
#include <utils/endpoint.h>
#include <utils/quantity.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr FollowTiming OwnerJobsTiming{std::chrono::milliseconds(30), std::chrono::milliseconds(500)};
constexpr FollowTiming StandbyJobsTiming{std::chrono::milliseconds(250), std::chrono::milliseconds(500)};
constexpr FollowTiming OperatorsTiming{std::chrono::milliseconds(50), std::chrono::milliseconds(1000)};
constexpr FollowTiming WorkersTiming{std::chrono::milliseconds(400), std::chrono::milliseconds(500)};
// The load balancer needs up to two seconds to notice that an instance is not ready.
constexpr std::chrono::milliseconds MinimumDrainTime{2500};
constexpr std::chrono::milliseconds IdleTimeBeforeExit{300};
// Before the end of the grace time. From then on, requests are answered at once.
constexpr std::chrono::milliseconds ShutdownMargin{900};
// An append that was under way then may still get its response in the first half.
constexpr std::chrono::milliseconds FinishTime{500};
constexpr std::chrono::milliseconds FinishCheckInterval{10};
constexpr std::chrono::milliseconds DrainCheckInterval{50};
constexpr std::size_t MaximumCallerConnections = 2000;

static DispatchLimits dispatchLimits(const Settings &settings)
{
    DispatchLimits limits;
    limits.maximumLease = millisecondsSetting(settings, "workers.longest_lease");
    limits.stopDuration = millisecondsSetting(settings, "workers.stop_duration");
    limits.statusRetention = millisecondsSetting(settings, "jobs.status_retention");
    return limits;
}

static OwnerIdentity ownerIdentity(const Settings &settings)
{
    OwnerIdentity identity;
    identity.instance = settings.text("instance.name");
    auto milliCores = capture([&] { return parseMilliCores(settings.text("instance.processor_share")); });
    if (const std::int64_t *value = valueOf(milliCores)) {
        identity.processorShare = static_cast<double>(*value) / 1000;
    } else {
        logMessage(LogLevel::Warning, "node", "invalid processor share", {{"error", errorOf(milliCores)->message}});
    }
    return identity;
}

} // namespace Internal

NodeDaemon::NodeDaemon(
    asio::io_context &context, const Settings &settings, OwnerPorts ports, const PlatformDecoder &decoder, MetricsRegistry &metrics, ReloadHandler reload)
    : m_context(context)
    , m_metrics(metrics)
    , m_reload(std::move(reload))
    , m_shutdownGrace(millisecondsSetting(settings, "shutdown.grace"))
    , m_callersAddress(settings.text("instance.callers"))
    , m_readyAddress(settings.text("instance.ready"))
    , m_cluster(decoder, metrics)
    , m_jobs(context.get_executor(), m_clock, ports.store, Topic::Jobs)
    , m_operators(context.get_executor(), m_clock, ports.store, Topic::Operators)
    , m_workers(context.get_executor(), m_clock, ports.store, Topic::Workers)
    , m_intake(context.get_executor(), m_clock, ports.store, m_table, m_jobs, m_cluster, metrics)
    , m_owner(context.get_executor(), m_clock, ports, m_table, m_jobs, metrics, Internal::dispatchLimits(settings), Internal::ownerIdentity(settings))
    , m_admin(context.get_executor(), endpointSetting(settings, "instance.admin"), metrics, [this] { return isReady(); })
    , m_callerServer(nullptr)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
{
}

void NodeDaemon::start(HttpServer::Handler callers, HttpServer::Handler readiness)
{
    const auto executor = m_context.get_executor();
    auto callersEndpoint = capture([&] { return parseEndpoint(m_callersAddress); });
    auto readyEndpoint = capture([&] { return parseEndpoint(m_readyAddress); });
    m_callerServer = std::make_unique<HttpServer>(executor, *valueOf(callersEndpoint), std::move(callers));
    m_readinessServer = std::make_unique<HttpServer>(executor, *valueOf(readyEndpoint), std::move(readiness));
    m_callerServer->setFailureHandler(logException);
    m_readinessServer->setFailureHandler(logException);
    applyLimits();
    m_callerServer->start();
    m_readinessServer->start();
    m_admin.start();
    followJobs();
    followOperators();
    followWorkers();
    asio::co_spawn(executor, m_intake.run(), endProcessOnException);
    asio::co_spawn(executor, m_owner.run(), endProcessOnException);
    waitForSignal();
    logMessage(LogLevel::Info, "node", "started", {{"callers", m_callersAddress}});
}

bool NodeDaemon::isReady() const
{
    return !m_draining && m_cluster.config().has_value() && m_jobs.isLoaded() && m_jobs.isStoreResponsive();
}

void NodeDaemon::followJobs()
{
    m_jobs.setTiming(Internal::StandbyJobsTiming);
    m_jobs.setHandlers(
        [this](const KeyedRecord &record) {
            const JobKey key = m_table.apply(record);
            m_intake.jobRecordApplied(key);
            m_owner.jobRecordApplied(key);
        },
        [this](TimePoint sentAt) {
            m_owner.jobsRead(sentAt);
            m_jobs.setTiming(m_owner.isOwner() || m_owner.isClaiming() || m_owner.isOffering() ? Internal::OwnerJobsTiming : Internal::StandbyJobsTiming);
        });
    asio::co_spawn(m_context, m_jobs.run(), endProcessOnException);
}

void NodeDaemon::followOperators()
{
    m_operators.setTiming(Internal::OperatorsTiming);
    m_operators.setHandlers(
        [this](const KeyedRecord &record) {
            if (m_cluster.applyOperatorRecord(record) && m_cluster.config()) {
                m_owner.applyConfiguration(*m_cluster.config(), m_cluster.evacuatedDomains());
                applyLimits();
            }
        },
        [](TimePoint) {});
    asio::co_spawn(m_context, m_operators.run(), endProcessOnException);
}

void NodeDaemon::followWorkers()
{
    m_workers.setTiming(Internal::WorkersTiming);
    m_workers.setHandlers(
        [this](const KeyedRecord &record) {
            if (const auto worker = m_cluster.applyWorkerRecord(record)) {
                m_owner.updateWorker(*worker);
            } else {
                m_owner.removeWorker(record.key);
            }
        },
        [this](TimePoint sentAt) { m_owner.workersRead(sentAt); });
    m_owner.setWorkersNeedHandler([this](bool isNeeded) {
        if (isNeeded) {
            m_workers.resume();
        } else {
            m_workers.pause();
        }
    });
    m_workers.pause();
    asio::co_spawn(m_context, m_workers.run(), endProcessOnException);
}

void NodeDaemon::applyLimits()
{
    if (!m_callerServer || !m_cluster.config()) {
        return;
    }
    const RequestLimits &limits = m_cluster.config()->limits;
    HttpServerLimits server;
    server.headerBytes = static_cast<std::uint32_t>(limits.headerBytes);
    server.bodyBytes = limits.bodyBytes;
    server.idleTimeout = limits.idleTimeout;
    server.headerTimeout = limits.headerTimeout;
    server.connections = Internal::MaximumCallerConnections;
    m_callerServer->setLimits(server);
}

void NodeDaemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            m_reload();
        } else if (!m_draining) {
            m_draining = true;
            asio::co_spawn(m_context, shutDown(), endProcessOnException);
        }
        waitForSignal();
    });
}

asio::awaitable<void> NodeDaemon::shutDown()
{
    const TimePoint begin = m_clock.now();
    const TimePoint answersEnd = begin + m_shutdownGrace - Internal::ShutdownMargin;
    logMessage(LogLevel::Info, "node", "shutting down", {{"open_requests", m_callerServer->openRequests()}, {"owner", m_owner.isOwner()}});
    m_callerServer->beginDrain();
    asio::co_spawn(m_context, releaseOwnership(), endProcessOnException);
    co_await serveUntilIdle(begin + Internal::MinimumDrainTime, answersEnd);
    const std::size_t openRequests = m_callerServer->openRequests();
    co_await finishRequests(answersEnd + Internal::FinishTime);
    m_owner.finishLog();
    logMessage(LogLevel::Info,
               "node",
               "stopped",
               {{"open_requests", m_callerServer->unfinishedRequests()},
                {"answered_at_once", openRequests},
                {"passed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - begin).count()}});
    m_context.stop();
}

asio::awaitable<void> NodeDaemon::releaseOwnership()
{
    co_await m_owner.release();
    m_isReleased = true;
}

asio::awaitable<void> NodeDaemon::serveUntilIdle(TimePoint earliestEnd, TimePoint deadline)
{
    asio::steady_timer timer(m_context);
    TimePoint lastBusyAt = m_clock.now();
    while (m_clock.now() < deadline) {
        const TimePoint now = m_clock.now();
        lastBusyAt = m_callerServer->openRequests() > 0 || !m_isReleased ? now : lastBusyAt;
        if (now >= earliestEnd && now - lastBusyAt >= Internal::IdleTimeBeforeExit) {
            break;
        }
        timer.expires_after(Internal::DrainCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
}

asio::awaitable<void> NodeDaemon::finishRequests(TimePoint deadline)
{
    m_intake.beginShutdown();
    asio::steady_timer timer(m_context);
    while (m_clock.now() < deadline) {
        if (m_clock.now() >= deadline - Internal::FinishTime / 2) {
            m_intake.abandonRequests();
        }
        m_callerServer->closeIdleConnections();
        m_readinessServer->closeIdleConnections();
        m_admin.closeIdleConnections();
        timer.expires_after(Internal::FinishCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
        if (m_callerServer->unfinishedRequests() + m_readinessServer->unfinishedRequests() + m_admin.unfinishedRequests() == 0) {
            break;
        }
    }
}

} // namespace Hyssop
