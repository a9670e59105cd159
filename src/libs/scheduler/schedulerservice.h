#pragma once

#include "hyssop_types.h"

#include <utils/result.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Hyssop {

class ConfigService;
class HttpClient;
class LogClient;
class MetricsRegistry;
class PeerService;

struct SchedulerServiceOptions
{
    std::string instance;
    std::string domain;
    std::vector<std::string> domains; // all failure domains, as destinations for transfers
    std::vector<std::string> workers; // addresses of this failure domain's workers
    std::int64_t incarnation = 0;
    std::chrono::milliseconds leaseDuration{10000};
    std::chrono::milliseconds permitDuration{3000};
    std::chrono::milliseconds batchDelay{20};
    double maximumAppendsPerSecond = 25;
};

/// Objects that the service uses. All of them must outlive the service.
struct SchedulerServiceParts
{
    HttpClient &http;
    LogClient &log;
    ConfigService &config;
    PeerService &peers;
    MetricsRegistry &metrics;
};

namespace Internal {
struct SchedulerServiceState;
}

/// Runs a SchedulerCore: reads and appends to the job stream, sends commands to workers, and answers operators and
/// gateways.
class SchedulerService
{
public:
    SchedulerService(boost::asio::any_io_executor executor, SchedulerServiceParts parts, SchedulerServiceOptions options);
    ~SchedulerService();

    void start();

    /// Stops appending records and sending commands. Running tasks continue under their leases; another scheduler takes
    /// over.
    void stop();

    /// True once configuration and job stream have been read.
    bool ready() const;

    /// Records a job. Submitting a known job id again has no effect and is answered as queued.
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> submit(Wire::JobSpec spec);
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> cancel(Wire::JobCancelRequest request);
    Wire::JobQueryReply jobs(const Wire::JobQuery &query) const;
    Wire::TargetsReply targets(const Wire::TargetsRequest &request);
    Wire::StatusReply status() const;

    /// Sets the fields of a heartbeat that belong to the scheduler.
    void fillHeartbeat(Wire::Heartbeat &heartbeat) const;
    /// Processes a peer's heartbeat.
    void handleHeartbeat(const Wire::Heartbeat &heartbeat);

private:
    std::shared_ptr<Internal::SchedulerServiceState> m_state;
};

} // namespace Hyssop
