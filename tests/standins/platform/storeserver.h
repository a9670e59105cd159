#pragma once

#include "topicstore.h"

#include <http/httpserver.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <map>
#include <string>

namespace Hyssop::StandIn {

/// Injected faults of the store.
struct StoreFaults
{
    bool isDown = false; // responds with status 503
    double lostResponses = 0; // share of the appends that are executed but get no response
    std::chrono::milliseconds delay{0}; // before each call is processed
};

/// Serves a TopicStore over HTTP, with fault injection. Test-only path: POST /control?down=0|1&lost=SHARE&slow=MILLISECONDS&expire=1.
class StoreServer
{
public:
    StoreServer(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint);

    void start() { m_server.start(); }
    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_server.localEndpoint(); }

    TopicStore store;
    StoreFaults faults;

private:
    boost::asio::awaitable<HttpResponse> handle(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> read(const HttpRequest &request, std::map<std::string, std::string> query);
    void control(const std::map<std::string, std::string> &query);

    boost::asio::any_io_executor m_executor;
    HttpServer m_server;
    int m_appends = 0;
};

} // namespace Hyssop::StandIn
