#pragma once

#include "faketarget.h"

#include <gateway/gatewayserver.h>
#include <gateway/requestlog.h>
#include <observability/metricsregistry.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Result of a request as the caller sees it.
struct CallerResult
{
    boost::system::error_code error; // the connection failed before the response was complete
    HttpResponse response;
    bool keepAlive = false;

    std::string outcome() const { return std::string(response["Hyssop-Outcome"]); }
};

/// Connection of a caller.
class Caller
{
public:
    explicit Caller(boost::asio::ip::tcp::endpoint endpoint);

    /// Sends one request and reads the response. Connects first if needed.
    boost::asio::awaitable<CallerResult> send(std::string method, std::string path, std::string id, std::string body = {}, std::string extraHeaders = {});

    /// Sends @p bytes unchanged.
    boost::asio::awaitable<void> sendBytes(std::string bytes);

    boost::asio::awaitable<CallerResult> receive(bool isHead = false);

    void close();

private:
    boost::asio::awaitable<void> connect();

    boost::asio::ip::tcp::endpoint m_endpoint;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    std::string m_rest; // bytes received after the last response
};

/// A gateway with fake targets in one process and one thread.
class GatewayFixture
{
public:
    explicit GatewayFixture(int targetCount = 1, GatewayOptions options = defaultOptions(), RequestLog *log = nullptr);
    ~GatewayFixture();

    static GatewayOptions defaultOptions();

    /// Customer "cascadia" with the service "sales", high limits and a timeout of 500 ms.
    static Contract defaultContract();

    std::vector<Wire::Target> publication() const;
    boost::asio::ip::tcp::endpoint endpoint() const;

    /// Runs @p coroutine until it finishes. A failed check or an exception in it fails the test.
    void run(boost::asio::awaitable<void> coroutine, std::chrono::seconds limit = std::chrono::seconds(30));

    boost::asio::io_context context;
    MetricsRegistry metrics;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    std::unique_ptr<GatewayServer> gateway;
};

/// Waits in a test coroutine.
boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds time);

} // namespace Hyssop::Testing
