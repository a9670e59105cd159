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

/// What a caller knows of its job.
struct SoakJob
{
    bool accepted = false;
    bool maybeAccepted = false; // an attempt had no answer, or one that says nothing
    bool cancelAcknowledged = false;
    bool maybeCancelled = false;
    std::string state; // as last told
    TimePoint acceptedAt{};
};

/// Callers that submit, cancel and ask for jobs at all nodes, over connections that they keep open.
class SoakLoad
{
public:
    SoakLoad(boost::asio::any_io_executor executor, SoakCluster &cluster, std::uint32_t seed);

    /// Submits jobs until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() { m_stopped = true; }

    /// Asks for the state of all accepted jobs and returns true if each has ended.
    boost::asio::awaitable<bool> askForStates();

    const std::map<std::string, SoakJob> &jobs() const { return m_jobs; }
    std::vector<std::string> broken; // promises, as the callers see them

private:
    boost::asio::awaitable<void> handIn(std::string jobId, std::string body, bool cancels);
    boost::asio::awaitable<void> cancel(std::string jobId);
    boost::asio::awaitable<unsigned> call(boost::beast::http::verb method, const std::string &jobId, const std::string &body, std::string *answer = nullptr);
    std::string drawBody();
    int draw(int count);

    boost::asio::any_io_executor m_executor;
    SoakCluster &m_cluster;
    HttpClient m_http;
    std::mt19937 m_random;
    std::map<std::string, SoakJob> m_jobs;
    bool m_stopped = false;
    int m_inFlight = 0;
};

} // namespace Hyssop::Soak
