#pragma once

#include <http/httpserver.h>

#include <functional>

namespace Hyssop {

class MetricsRegistry;

/// HTTP server for the administration endpoints of a daemon: `/metrics` (Prometheus text format), `/healthz` (200 while
/// the process handles requests) and `/readyz` (200 if the daemon is ready, else 503).
class AdminServer
{
public:
    /// Binds to @p endpoint and listens on it. Throws boost::system::system_error if the address is in use. @p metrics must
    /// outlive the server.
    AdminServer(boost::asio::any_io_executor executor,
                const boost::asio::ip::tcp::endpoint &endpoint,
                const MetricsRegistry &metrics,
                std::function<bool()> ready,
                bool servesMetrics = true);

    void start();
    void stop();

    /// See HttpServer.
    void closeIdleConnections();
    std::size_t unfinishedRequests() const;

    boost::asio::ip::tcp::endpoint localEndpoint() const;

private:
    HttpServer m_server;
};

} // namespace Hyssop
