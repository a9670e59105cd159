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

/// Answer as a caller sees it.
struct CallerAnswer
{
    boost::system::error_code error; // the connection failed before the answer was complete
    HttpResponse response;
    bool keepAlive = false;

    std::string outcome() const { return std::string(response["Hyssop-Outcome"]); }
};

/// Connection of a caller.
class Caller
{
public:
    explicit Caller(boost::asio::ip::tcp::endpoint endpoint);

    /// Sends one request and reads the answer. Connects first if needed.
    boost::asio::awaitable<CallerAnswer> send(std::string method, std::string path, std::string id, std::string body = {}, std::string extraHeaders = {});

    /// Sends bytes as they are.
    boost::asio::awaitable<void> sendBytes(std::string bytes);

    boost::asio::awaitable<CallerAnswer> receive(bool isHead = false);

    void close();

private:
    boost::asio::awaitable<void> connect();

    boost::asio::ip::tcp::endpoint m_endpoint;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    std::string m_rest; // bytes behind the last answer
};

/// A gateway with fake targets in one process and one thread.
class GatewayFixture
{
public:
    explicit GatewayFixture(int targetCount = 1, GatewayOptions options = defaultOptions(), RequestLog *log = nullptr);
    ~GatewayFixture();

    static GatewayOptions defaultOptions();

    /// A customer "cascadia" with the service "sales", wide limits and a timeout of 500 ms.
    static Contract defaultContract();

    std::vector<Wire::Target> publication() const;
    boost::asio::ip::tcp::endpoint endpoint() const;

    /// Runs @p coroutine to its end; a failed check or an exception in it fails the test.
    void run(boost::asio::awaitable<void> coroutine, std::chrono::seconds limit = std::chrono::seconds(30));

    boost::asio::io_context context;
    MetricsRegistry metrics;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    std::unique_ptr<GatewayServer> gateway;
};

/// Waits in a test coroutine.
boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds time);

} // namespace Hyssop::Testing
