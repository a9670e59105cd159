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

/// One instance of the system on the users' platform: serves callers, follows the store's topics, and owns the job topic
/// when it has claimed it.
class NodeDaemon
{
public:
    /// Loads the settings anew; called on SIGHUP.
    using Reload = std::function<void()>;

    /// All references must outlive the daemon.
    NodeDaemon(
        boost::asio::io_context &context, const Settings &settings, OwnerPorts ports, const PlatformDecoder &decoder, MetricsRegistry &metrics, Reload reload);

    /// Starts to follow the store and to serve the platform and callers with the handlers given.
    void start(HttpServer::Handler callers, HttpServer::Handler platform);

    JobIntake &intake() { return m_intake; }
    const JobTable &table() const { return m_table; }
    const ClusterView &cluster() const { return m_cluster; }

    /// Returns true if callers may be sent here.
    bool isReady() const;

private:
    void followJobs();
    void followOperators();
    void followWorkers();
    void applyLimits();
    void waitForSignal();
    boost::asio::awaitable<void> shutDown();

    boost::asio::io_context &m_context;
    Clock m_clock{SuspendTime::Counted};
    MetricsRegistry &m_metrics;
    Reload m_reload;
    std::chrono::milliseconds m_grace;
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
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_platform;
    boost::asio::signal_set m_signals;
    bool m_draining = false;
};

} // namespace Hyssop
