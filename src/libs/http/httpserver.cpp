#include "httpserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <list>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Internal {

constexpr std::chrono::milliseconds AcceptRetryDelay{100};
constexpr std::size_t FirstReadSize = 512; // bytes; many connections wait for a request
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

struct HttpConnection
{
    explicit HttpConnection(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    bool isIdle = true; // no byte of a request was received since the last response
};

struct HttpServerState
{
    HttpServerState(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, HttpServer::Handler requestHandler)
        : acceptor(executor, endpoint)
        , handler(std::move(requestHandler))
    {
    }

    asio::ip::tcp::acceptor acceptor;
    HttpServer::Handler handler;
    HttpServer::FailureHandler failureHandler = [](const std::exception_ptr &) {};
    std::list<HttpConnection> connections;
    HttpServerLimits limits;
    std::size_t openRequests = 0;
    bool draining = false;
    bool stopped = false;
};

using HttpServerStatePtr = std::shared_ptr<HttpServerState>;

static asio::awaitable<void> sendBadRequest(beast::tcp_stream &stream, const boost::system::error_code &error)
{
    HttpResponse response(error == http::error::body_limit ? http::status::payload_too_large : http::status::bad_request, 11);
    response.body() = error.message() + "\n";
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(stream, response, AsTuple);
}

using RequestParser = http::request_parser<http::string_body>;

/// Waits for the first byte of a request, unless the buffer contains bytes that the caller has sent ahead.
static asio::awaitable<boost::system::error_code> waitForRequest(HttpConnection &connection, beast::flat_buffer &buffer, std::chrono::milliseconds timeout)
{
    connection.isIdle = buffer.size() == 0;
    if (!connection.isIdle) {
        co_return boost::system::error_code();
    }
    connection.stream.expires_after(timeout);
    const auto [error, size] = co_await connection.stream.async_read_some(buffer.prepare(FirstReadSize), AsTuple);
    buffer.commit(size);
    connection.isIdle = size == 0;
    co_return error == asio::error::eof ? boost::system::error_code(http::error::end_of_stream) : error;
}

static asio::awaitable<boost::system::error_code>
readRequest(HttpConnection &connection, beast::flat_buffer &buffer, RequestParser &parser, const HttpServerLimits &limits)
{
    if (const auto error = co_await waitForRequest(connection, buffer, limits.idleTimeout)) {
        co_return error;
    }
    beast::tcp_stream &stream = connection.stream;
    stream.expires_after(limits.headerTimeout);
    const auto [headerError, headerSize] = co_await http::async_read_header(stream, buffer, parser, AsTuple);
    if (headerError) {
        co_return headerError;
    }
    stream.expires_after(limits.idleTimeout);
    const auto [bodyError, bodySize] = co_await http::async_read(stream, buffer, parser, AsTuple);
    co_return bodyError;
}

/// Returns the response of the handler, or one with status 0 if it has failed.
static asio::awaitable<HttpResponse> handleRequest(HttpServerStatePtr state, const HttpRequest &request)
{
    try {
        co_return co_await state->handler(request);
    } catch (...) {
        state->failureHandler(std::current_exception());
    }
    HttpResponse none;
    none.result(0U);
    co_return none;
}

static asio::awaitable<void> serveRequests(HttpServerStatePtr state, HttpConnection &connection)
{
    beast::tcp_stream &stream = connection.stream;
    beast::flat_buffer buffer;
    while (!state->stopped) {
        RequestParser parser;
        parser.header_limit(state->limits.headerBytes);
        parser.body_limit(state->limits.bodyBytes);
        const HttpServerLimits limits = state->limits;
        const boost::system::error_code readError = co_await readRequest(connection, buffer, parser, limits);
        if (readError) {
            if (readError.category() == http::make_error_code(http::error::end_of_stream).category() && readError != http::error::end_of_stream) {
                co_await sendBadRequest(stream, readError);
            }
            co_return;
        }
        stream.expires_never();
        ++state->openRequests;
        HttpResponse response = co_await handleRequest(state, parser.get());
        if (response.result_int() == 0) {
            --state->openRequests;
            co_return;
        }
        response.keep_alive(parser.get().keep_alive() && response.keep_alive() && !state->draining);
        response.prepare_payload();
        stream.expires_after(state->limits.idleTimeout);
        const auto [writeError, writeSize] = co_await http::async_write(stream, response, AsTuple);
        --state->openRequests;
        if (writeError || !response.keep_alive()) {
            co_return;
        }
    }
}

static asio::awaitable<void> serveConnection(HttpServerStatePtr state, std::list<HttpConnection>::iterator connection)
{
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_await serveRequests(state, *connection);
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    state->connections.erase(connection);
}

static asio::awaitable<void> acceptConnections(HttpServerStatePtr state)
{
    while (!state->stopped) {
        auto [error, socket] = co_await state->acceptor.async_accept(AsTuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error || state->connections.size() >= state->limits.connections) {
            // Out of file descriptors or connections; retrying without a delay would keep a whole core busy.
            asio::steady_timer timer(state->acceptor.get_executor(), AcceptRetryDelay);
            co_await timer.async_wait(AsTuple);
            continue;
        }
        state->connections.emplace_back(std::move(socket));
        const auto connection = std::prev(state->connections.end());
        asio::co_spawn(state->acceptor.get_executor(), serveConnection(state, connection), asio::detached);
    }
}

} // namespace Internal

HttpServer::HttpServer(asio::any_io_executor executor, const asio::ip::tcp::endpoint &endpoint, Handler handler)
    : m_state(std::make_shared<Internal::HttpServerState>(executor, endpoint, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start()
{
    asio::co_spawn(m_state->acceptor.get_executor(), Internal::acceptConnections(m_state), asio::detached);
}

void HttpServer::setFailureHandler(FailureHandler onFailure)
{
    m_state->failureHandler = std::move(onFailure);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->limits = limits;
}

void HttpServer::beginDrain()
{
    m_state->draining = true;
}

void HttpServer::closeIdleConnections()
{
    for (Internal::HttpConnection &connection : m_state->connections) {
        boost::system::error_code ignored;
        if (connection.isIdle && connection.stream.socket().available(ignored) == 0) {
            connection.stream.cancel();
        }
    }
}

std::size_t HttpServer::openRequests() const
{
    return m_state->openRequests;
}

std::size_t HttpServer::unfinishedRequests() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_state->connections, [](const Internal::HttpConnection &connection) {
        boost::system::error_code ignored;
        return !connection.isIdle || connection.stream.socket().available(ignored) > 0;
    }));
}

void HttpServer::stop()
{
    m_state->stopped = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (Internal::HttpConnection &connection : m_state->connections) {
        connection.stream.socket().close(ignored);
    }
}

asio::ip::tcp::endpoint HttpServer::localEndpoint() const
{
    return m_state->acceptor.local_endpoint();
}

HttpResponse makeResponse(const HttpRequest &request, http::status status, std::string body, std::string_view contentType)
{
    HttpResponse response(status, request.version());
    response.set(http::field::content_type, beast::string_view(contentType.data(), contentType.size()));
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    return response;
}

} // namespace Hyssop
