#include "adminserver.h"

#include <observability/metricsregistry.h>

#include <string_view>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace Internal {

struct AdminEndpoints
{
    const MetricsRegistry &metrics;
    std::function<bool()> ready;
    bool servesMetrics;
};

static HttpResponse responseFor(const AdminEndpoints &endpoints, const HttpRequest &request)
{
    if (request.method() != http::verb::get) {
        return makeResponse(request, http::status::method_not_allowed, "only GET\n");
    }
    const std::string_view target(request.target().data(), request.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/metrics" && endpoints.servesMetrics) {
        return makeResponse(request, http::status::ok, endpoints.metrics.toPrometheusText(), "text/plain; version=0.0.4");
    }
    if (path == "/healthz") {
        return makeResponse(request, http::status::ok, "ok\n");
    }
    if (path == "/readyz") {
        const bool ready = endpoints.ready();
        return makeResponse(request, ready ? http::status::ok : http::status::service_unavailable, ready ? "ready\n" : "not ready\n");
    }
    return makeResponse(request, http::status::not_found, "no such path\n");
}

static asio::awaitable<HttpResponse> handleRequest(AdminEndpoints endpoints, const HttpRequest &request)
{
    co_return responseFor(endpoints, request);
}

} // namespace Internal

AdminServer::AdminServer(
    asio::any_io_executor executor, const asio::ip::tcp::endpoint &endpoint, const MetricsRegistry &metrics, std::function<bool()> ready, bool servesMetrics)
    : m_server(std::move(executor), endpoint, [endpoints = Internal::AdminEndpoints{metrics, std::move(ready), servesMetrics}](const HttpRequest &request) {
        return Internal::handleRequest(endpoints, request);
    })
{
}

void AdminServer::start()
{
    m_server.start();
}

void AdminServer::stop()
{
    m_server.stop();
}

void AdminServer::closeIdleConnections()
{
    m_server.closeIdleConnections();
}

std::size_t AdminServer::unfinishedRequests() const
{
    return m_server.unfinishedRequests();
}

asio::ip::tcp::endpoint AdminServer::localEndpoint() const
{
    return m_server.localEndpoint();
}

} // namespace Hyssop
