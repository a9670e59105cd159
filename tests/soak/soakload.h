#pragma once

#include <http/httpclient.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Hyssop::Soak {

class SoakCluster;

/// State of a job as known to its caller.
struct SoakJob
{
    bool accepted = false;
    bool maybeAccepted = false; // an attempt got no response, or one that leaves the outcome open
    bool cancelAcknowledged = false;
    bool maybeCancelled = false;
    std::string state; // last one reported
    TimePoint acceptedAt{};
};

/// Callers that submit, cancel and query jobs on all nodes over persistent connections.
class SoakLoad
{
public:
    SoakLoad(boost::asio::any_io_executor executor, SoakCluster &cluster, std::uint32_t seed);

    /// Submits jobs until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() { m_stopped = true; }

    /// Records until stop() when this process was last able to receive responses.
    boost::asio::awaitable<void> recordTicks();

    /// Queries the state of all accepted jobs and returns true if each has ended.
    boost::asio::awaitable<bool> pollJobStates();

    const std::map<std::string, SoakJob> &jobs() const { return m_jobs; }
    std::vector<std::string> violations; // as seen by the callers

private:
    boost::asio::awaitable<void> submit(std::string jobId, std::string body, bool cancelAfterwards);
    boost::asio::awaitable<void> cancel(std::string jobId);
    boost::asio::awaitable<void> cancelUnknownJob(std::string jobId);
    void checkLostResponse(int node, const Error &error, TimePoint sentAt, const std::string &jobId);
    boost::asio::awaitable<unsigned>
    call(boost::beast::http::verb method, const std::string &jobId, const std::string &body, std::string *responseBody = nullptr);
    std::string randomBody();
    int randomBelow(int count);

    boost::asio::any_io_executor m_executor;
    SoakCluster &m_cluster;
    HttpClient m_http;
    std::mt19937 m_random;
    std::map<std::string, SoakJob> m_jobs;
    TimePoint m_tickAt{};
    bool m_stopped = false;
    int m_inFlight = 0;
};

} // namespace Hyssop::Soak
