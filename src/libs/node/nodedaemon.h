#pragma once

#include "clusterview.h"
#include "jobintake.h"
#include "topicfollower.h"
#include "topicowner.h"

#include <http/httpserver.h>
#include <instance/adminserver.h>
#include <jobtopic/jobtable.h>
#include <observability/metricsregistry.h>
#include <utils/clock.h>
#include <utils/settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace Hyssop {

/// An instance of the system on the users' platform: serves callers, follows the topics of the store, and dispatches jobs while
/// it owns the job topic.
class NodeDaemon
{
public:
    /// Reloads the settings; called on SIGHUP.
    using ReloadHandler = std::function<void()>;

    /// All references must outlive the daemon.
    NodeDaemon(boost::asio::io_context &context,
               const Settings &settings,
               OwnerPorts ports,
               const PlatformDecoder &decoder,
               MetricsRegistry &metrics,
               ReloadHandler reload);

    /// Starts to follow the store and to serve requests: of callers with @p callers, readiness checks with @p readiness.
    void start(HttpServer::Handler callers, HttpServer::Handler readiness);

    JobIntake &intake() { return m_intake; }
    const JobTable &table() const { return m_table; }
    const ClusterView &cluster() const { return m_cluster; }

    /// Returns true if this instance may receive requests from callers.
    bool isReady() const;

private:
    void followJobs();
    void followOperators();
    void followWorkers();
    void applyLimits();
    void waitForSignal();
    boost::asio::awaitable<void> shutDown();
    boost::asio::awaitable<void> releaseOwnership();

    /// Serves requests until none has come for a while, or until @p deadline.
    boost::asio::awaitable<void> serveUntilIdle(TimePoint earliestEnd, TimePoint deadline);

    /// Answers all requests that are read, at once from now on, until @p deadline.
    boost::asio::awaitable<void> finishRequests(TimePoint deadline);

    boost::asio::io_context &m_context;
    Clock m_clock{SuspendTime::Counted};
    MetricsRegistry &m_metrics;
    ReloadHandler m_reload;
    std::chrono::milliseconds m_shutdownGrace;
    std::string m_callersAddress;
    std::string m_readyAddress;
    ClusterView m_cluster;
    JobTable m_table;
    TopicFollower m_jobs;
    TopicFollower m_operators;
    TopicFollower m_workers;
    JobIntake m_intake;
    TopicOwner m_owner;
    AdminServer m_admin;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    boost::asio::signal_set m_signals;
    bool m_draining = false;
    bool m_isReleased = false; // the ownership, for the shutdown
};

} // namespace Hyssop
