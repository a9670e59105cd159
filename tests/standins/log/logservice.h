#pragma once

#include "logstore.h"

#include <http/httpserver.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace Hyssop {

/// Faults that the log stand-in injects.
struct LogFaults
{
    bool available = true; // false: requests for streams fail with status 503
    std::chrono::milliseconds appendDelay{0}; // before the record is applied
    std::chrono::milliseconds readDelay{0};
    int loseResponses = 0; // number of next appends that are applied but get no response
    int dropAppends = 0; // number of next appends that are neither applied nor get a response
    std::chrono::milliseconds clockOffset{0}; // of the log's clock relative to this machine's clock
    std::optional<int> maximumAppendsPerSecond; // appends above it fail with status 503
};

/// Serves a LogStore over the wire format of the platform log, with fault injection.
class LogService
{
public:
    /// Binds and listens immediately; accepts connections after start().
    LogService(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint);
    ~LogService();

    void start();
    void stop();

    boost::asio::ip::tcp::endpoint localEndpoint() const;
    std::string address() const;

    LogStore &store();
    LogFaults &faults();

private:
    struct State;

    static boost::asio::awaitable<HttpResponse> handle(std::shared_ptr<State> state, const HttpRequest &request);
    static boost::asio::awaitable<HttpResponse> handleAppend(std::shared_ptr<State> state, const HttpRequest &request, std::string stream);
    static boost::asio::awaitable<HttpResponse> handleRead(std::shared_ptr<State> state, const HttpRequest &request, std::string stream);

    std::shared_ptr<State> m_state;
    HttpServer m_server;
};

} // namespace Hyssop
