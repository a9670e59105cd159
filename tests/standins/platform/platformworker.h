#pragma once

#include <http/httpserver.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::StandIn {

/// A worker of the platform (HTTP): starts, stops and reports runs, with a lease and fencing tokens. A task takes the number of
/// milliseconds in its payload ("ms=500"), or 100 ms.
class PlatformWorker
{
public:
    /// @p advertisedAddress is the address in the registration; if empty, the address on which the worker listens.
    PlatformWorker(boost::asio::any_io_executor executor,
                   const boost::asio::ip::tcp::endpoint &endpoint,
                   std::string id,
                   std::string advertisedAddress = std::string());

    void start() { m_server.start(); }
    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_server.localEndpoint(); }

    /// Returns the registration for the store.
    std::string registration(std::int64_t sequence) const;

    /// Returns all starts so far, one per line: "TASK RUN".
    std::string startLines() const;

    /// Returns all runs so far, one per line: "TASK RUN START-MS END-MS END-REASON ACKNOWLEDGED". Times are of the steady clock; the
    /// end of an active run is 0. ACKNOWLEDGED is 1 if the end was acknowledged before the lease expired.
    std::string runLines() const;

    const std::string &id() const { return m_id; }

    /// Simulates a crash and a restart with the same id and without any state.
    void restart();

    /// Ends runs that are due or whose lease has expired.
    void advance();

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Run
    {
        int number = 0;
        Time startedAt{};
        Time dueAt{};
        std::size_t history = 0; // index in m_history

        /// Returns the progress in percent.
        int percent() const;
    };

    struct End
    {
        std::int64_t sequence = 0;
        std::string task;
        int run = 0;
        std::string endReason;
        std::size_t history = 0; // index in m_history
        bool leaseExpired = false; // the lease expired after the end
    };

    /// A run as recorded for tests.
    struct History
    {
        std::string task;
        int run = 0;
        Time startedAt{};
        Time endedAt{};
        std::string endReason;
        bool acknowledged = false;
    };

    boost::asio::awaitable<HttpResponse> handle(const HttpRequest &request);
    HttpResponse startRun(const HttpRequest &request, const std::string &body);
    HttpResponse stopRun(const HttpRequest &request, const std::string &body);
    boost::asio::awaitable<HttpResponse> poll(const HttpRequest &request, const std::string &body);
    void finish(const std::string &task, const std::string &endReason);
    std::int64_t clockMs() const;
    void extendLease(std::int64_t endMs);
    HttpResponse reject(const HttpRequest &request, const char *reason) const;

    boost::asio::any_io_executor m_executor;
    std::string m_id;
    std::string m_advertisedAddress;
    Time m_startedAt = std::chrono::steady_clock::now();
    std::int64_t m_startedAtUnixMs;
    std::int64_t m_highestToken = 0;
    std::int64_t m_leaseEndMs = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_highestEndedRun;
    std::vector<End> m_ends;
    std::int64_t m_lastEndSequence = 0;
    std::vector<std::string> m_starts;
    std::vector<History> m_history;
    HttpServer m_server;
};

} // namespace Hyssop::StandIn
