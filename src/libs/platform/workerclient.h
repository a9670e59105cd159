#pragma once

#include "hyssop_types.h"

#include <utils/result.h>
#include <workers/workerstatus.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssop {

class HttpClient;

/// How a worker answered a command.
enum class WorkerReply {
    Done, // took effect, or had taken effect before
    StaleEpoch, // the worker has seen a higher epoch, or the lease has expired
    Expired, // the not-after bound had passed; certainly not run
    NoCapacity, // certainly not run
    UnknownTask, // the worker does not have the task
    Unreachable, // certainly not received
    Undetermined, // no answer; the effect is unknown
};

/// Answer to a request for a worker's lease.
struct WorkerLeaseReply
{
    bool granted = false;
    std::int64_t epoch = -1; // highest epoch that the worker has seen
    WorkerStatus status; // filled if granted
};

/// A task to start on a worker.
struct WorkerTask
{
    Wire::JobSpec spec;
    int attempt = 0;
    std::string checkpoint;
    std::chrono::milliseconds notAfter{0}; // in the worker's clock
};

/// Adapter for the platform's workers. The only place that knows their wire format.
class WorkerClient
{
public:
    /// @p http must outlive the client.
    explicit WorkerClient(HttpClient &http);

    /// Takes or renews the lease of the worker at @p address ("IP-ADDRESS:PORT") and reads its status.
    boost::asio::awaitable<Outcome<WorkerLeaseReply>>
    renewLease(std::string address, std::string holder, std::int64_t epoch, std::chrono::milliseconds duration, std::chrono::milliseconds timeout);

    boost::asio::awaitable<WorkerReply> start(std::string address, std::int64_t epoch, WorkerTask task, std::chrono::milliseconds timeout);

    /// @p verb is "stop", "checkpoint" or "forget".
    boost::asio::awaitable<WorkerReply>
    command(std::string address, std::string verb, std::int64_t epoch, std::string jobId, int attempt, std::chrono::milliseconds timeout);

    /// @p level is the speed in percent, 1 to 100.
    boost::asio::awaitable<WorkerReply>
    throttle(std::string address, std::int64_t epoch, std::string jobId, int attempt, int level, std::chrono::milliseconds timeout);

private:
    boost::asio::awaitable<WorkerReply> post(std::string address, std::string path, std::string body, std::chrono::milliseconds timeout);

    HttpClient &m_http;
};

} // namespace Hyssop
