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
    /// @p advertised is the address in the registration; empty: the one that the worker listens on.
    PlatformWorker(boost::asio::any_io_executor executor,
                   const boost::asio::ip::tcp::endpoint &endpoint,
                   std::string id,
                   std::string advertised = std::string());

    void start() { m_server.start(); }
    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_server.localEndpoint(); }

    /// Returns the registration for the store.
    std::string registration(std::int64_t sequence) const;

    /// Returns all starts so far, "TASK RUN", one a line.
    std::string startLines() const;

    /// Returns all runs so far, "TASK RUN BEGIN-MS END-MS HOW NOTED" one a line. Times are of the steady clock; a run that
    /// goes on has the end 0. NOTED is 1 if the end was acknowledged before the lease lapsed.
    std::string runLines() const;

    const std::string &id() const { return m_id; }

    /// Crashes and begins a new life under the same id, which knows nothing.
    void restart();

    /// Ends runs whose time is over or whose lease has lapsed.
    void advance();

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Run
    {
        int number = 0;
        Time begunAt{};
        Time endsAt{};
        std::size_t history = 0; // index

        /// Returns the share of the work that is done, in percent.
        int percent() const;
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t history = 0; // index
        bool lapsed = false; // the lease lapsed after the end
    };

    /// One run, for the test.
    struct History
    {
        std::string task;
        int run = 0;
        Time begunAt{};
        Time endedAt{};
        std::string how;
        bool noted = false;
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
    std::string m_advertised;
    Time m_born = std::chrono::steady_clock::now();
    std::int64_t m_bornUnixMs;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_highestEnded;
    std::vector<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::vector<std::string> m_starts;
    std::vector<History> m_history;
    HttpServer m_server;
};

} // namespace Hyssop::StandIn
