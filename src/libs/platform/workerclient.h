#pragma once

#include "hyssop_types.h"

#include <utils/result.h>
#include <workers/commandoutcome.h>
#include <workers/leaseresult.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

class HttpClient;

/// A task to start on a worker.
struct WorkerTask
{
    Wire::JobSpec spec;
    int attempt = 0;
    std::string checkpoint;
    std::chrono::milliseconds notAfter{0}; // on the worker's clock
};

/// Client of the platform's workers. No other class depends on their wire format.
class WorkerClient
{
public:
    /// @p http must outlive the client.
    explicit WorkerClient(HttpClient &http);

    /// Acquires or renews the lease on the worker at @p address ("IP-ADDRESS:PORT") and reads its status. The worker rejects
    /// the request if its clock is past @p notAfter.
    boost::asio::awaitable<Outcome<LeaseResult>> renewLease(std::string address,
                                                            std::string holder,
                                                            std::int64_t epoch,
                                                            std::chrono::milliseconds duration,
                                                            std::optional<std::chrono::milliseconds> notAfter,
                                                            std::chrono::milliseconds timeout);

    boost::asio::awaitable<CommandOutcome> start(std::string address, std::int64_t epoch, WorkerTask task, std::chrono::milliseconds timeout);

    /// @p verb is "stop", "checkpoint" or "forget".
    boost::asio::awaitable<CommandOutcome>
    command(std::string address, std::string verb, std::int64_t epoch, std::string jobId, int attempt, std::chrono::milliseconds timeout);

    /// @p speedPercent is the speed in percent of full speed, 1 to 100.
    boost::asio::awaitable<CommandOutcome>
    throttle(std::string address, std::int64_t epoch, std::string jobId, int attempt, int speedPercent, std::chrono::milliseconds timeout);

private:
    boost::asio::awaitable<CommandOutcome> post(std::string address, std::string path, std::string body, std::chrono::milliseconds timeout);

    HttpClient &m_http;
};

} // namespace Hyssop
