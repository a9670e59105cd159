#pragma once

#include <http/httpserver.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::StandIn {

/// A worker of the platform over HTTP: starts, stops and lists runs under a lease, fenced by token. A task takes the
/// milliseconds that its payload says ("ms=500"), 100 ms otherwise.
class PlatformWorker
{
public:
    PlatformWorker(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint, std::string id);

    void start() { m_server.start(); }
    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_server.localEndpoint(); }

    /// Returns the registration for the store.
    std::string registration(std::int64_t sequence) const;

    /// Returns all starts so far, "TASK RUN", one a line.
    std::string startLines() const;

    const std::string &id() const { return m_id; }

    /// Ends runs whose time is over or whose lease has lapsed.
    void advance();

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Run
    {
        int number = 0;
        Time begunAt{};
        Time endsAt{};

        /// Returns the share of the work that is done, in percent.
        int percent() const;
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    boost::asio::awaitable<HttpResponse> answer(const HttpRequest &request);
    HttpResponse startRun(const HttpRequest &request, const std::string &body);
    HttpResponse stopRun(const HttpRequest &request, const std::string &body);
    boost::asio::awaitable<HttpResponse> hold(const HttpRequest &request, const std::string &body);
    void finish(const std::string &task, const std::string &how);
    std::int64_t clockMs() const;
    void extendLease(std::int64_t endMs);
    HttpResponse refuse(const HttpRequest &request, const char *reason) const;

    boost::asio::any_io_executor m_executor;
    std::string m_id;
    Time m_born = std::chrono::steady_clock::now();
    std::int64_t m_bornUnixMs;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_highestEnded;
    std::vector<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::vector<std::string> m_starts;
    HttpServer m_server;
};

} // namespace Hyssop::StandIn
