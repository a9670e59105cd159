#pragma once

#include "httpserver.h"
#include "httptimeouts.h"

#include <utils/result.h>

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace Hyssop {

namespace Internal {
class HttpConnectionPool;
}

/// HTTP/1.1 client with pooled connections. Response bodies are read into memory and limited to 4 MiB. Use from one
/// executor only.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::any_io_executor executor);
    ~HttpClient();

    /// A total deadline for the whole exchange, or limits that depend on the progress of the response.
    using Timeout = std::variant<std::chrono::milliseconds, HttpTimeouts>;

    /// Sends @p request to @p address ("IP-ADDRESS:PORT") and waits for the whole response. The address is also the value
    /// of the Host field if the request has none. After an error with isNotSent() nothing was sent; after any other
    /// error it is unknown whether the request took effect, and the connection is closed.
    boost::asio::awaitable<Outcome<HttpResponse>> send(std::string address, HttpRequest request, Timeout timeout);

    /// Builds and sends a request.
    boost::asio::awaitable<Outcome<HttpResponse>>
    send(std::string address, boost::beast::http::verb method, std::string path, std::string body, Timeout timeout);

private:
    std::shared_ptr<Internal::HttpConnectionPool> m_pool;
};

} // namespace Hyssop
