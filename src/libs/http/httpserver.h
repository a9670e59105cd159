#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

namespace Hyssop {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

namespace Internal {
struct HttpServerState;
}

/// Limits of an HttpServer.
struct HttpServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::size_t connections = 1024;
    std::chrono::milliseconds idleTimeout{60000}; // until the first byte of a request, and for each body and response
    std::chrono::milliseconds headerTimeout{10000}; // from the first byte to the end of the header
};

/// HTTP/1.1 server. Bodies are read into memory completely.
class HttpServer
{
public:
    /// Handles one request. A response with status 0 closes the connection without sending anything (for fault
    /// injection in test servers).
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest &)>;

    /// Called with an exception that a handler has thrown. The connection of the request is closed without a response, because it
    /// is unknown what the handler has done.
    using FailureHandler = std::function<void(const std::exception_ptr &)>;

    /// Binds and listens at once. Throws boost::system::system_error if the address is in use.
    HttpServer(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint, Handler handler);
    ~HttpServer();

    /// Starts accepting connections.
    void start();

    void setFailureHandler(FailureHandler onFailure);

    /// Sets the limits for requests and connections from now on.
    void setLimits(const HttpServerLimits &limits);

    /// Continues to serve, but closes each connection after its next response.
    void beginDrain();

    /// Closes the connections that have neither an open request nor bytes to read. A request that is read before the connection is closed gets
    /// its response.
    void closeIdleConnections();

    /// Number of requests that are being handled.
    std::size_t openRequests() const;

    /// Number of requests of which bytes have arrived and that have no response yet.
    std::size_t unfinishedRequests() const;

    /// Stops accepting and closes every connection.
    void stop();

    boost::asio::ip::tcp::endpoint localEndpoint() const;

private:
    std::shared_ptr<Internal::HttpServerState> m_state;
};

/// Builds a response to @p request with the given status, content type and body.
HttpResponse makeResponse(const HttpRequest &request, boost::beast::http::status status, std::string body, std::string_view contentType = "text/plain");

} // namespace Hyssop
