#include <http/httpserver.h>
#include <support/coroutines.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <stdexcept>
#include <string>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
const std::string CompleteRequest = "GET /ok HTTP/1.1\r\nHost: a\r\n\r\n";

asio::awaitable<HttpResponse> respond(const HttpRequest &request)
{
    if (request.target() == "/slow") {
        co_await pauseFor(300ms);
    }
    if (request.target() == "/throw") {
        throw std::runtime_error("unexpected");
    }
    co_return makeResponse(request, boost::beast::http::status::ok, "fine");
}

/// Connection of a caller that sends and receives bytes.
class RawCaller
{
public:
    asio::awaitable<void> connect(const HttpServer &server)
    {
        m_socket = std::make_unique<asio::ip::tcp::socket>(co_await asio::this_coro::executor);
        co_await m_socket->async_connect(server.localEndpoint(), AsTuple);
    }

    asio::awaitable<void> send(std::string bytes) { co_await asio::async_write(*m_socket, asio::buffer(bytes), AsTuple); }

    /// Returns the header of the next response; empty: the connection was closed.
    asio::awaitable<std::string> receiveHeader()
    {
        std::string bytes;
        const auto [error, size] = co_await asio::async_read_until(*m_socket, asio::dynamic_buffer(bytes), "\r\n\r\n", AsTuple);
        co_return error ? std::string() : bytes.substr(0, size);
    }

private:
    std::unique_ptr<asio::ip::tcp::socket> m_socket;
};

asio::awaitable<void> aHalfHeaderIsClosedSteps(HttpServer &server)
{
    RawCaller caller;
    co_await caller.connect(server);
    co_await caller.send("GET /ok HTTP/1.1\r\nHo");
    const auto begin = std::chrono::steady_clock::now();
    const std::string header = co_await caller.receiveHeader();
    cr_assert(header.empty());
    cr_assert_lt((std::chrono::steady_clock::now() - begin) / 1ms, 5000);
}

asio::awaitable<void> anIdleConnectionIsKeptSteps(HttpServer &server)
{
    RawCaller caller;
    co_await caller.connect(server);
    for (int request = 0; request < 2; ++request) {
        co_await pauseFor(500ms);
        co_await caller.send(CompleteRequest);
        const std::string header = co_await caller.receiveHeader();
        cr_assert(header.starts_with("HTTP/1.1 200"), "%s", header.c_str());
    }
}

asio::awaitable<void> anExceptionClosesOneConnectionSteps(HttpServer &server)
{
    RawCaller failing;
    RawCaller other;
    co_await failing.connect(server);
    co_await other.connect(server);
    co_await failing.send("GET /throw HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string none = co_await failing.receiveHeader();
    cr_assert(none.empty(), "it is unknown what the handler has done");
    co_await other.send(CompleteRequest);
    const std::string header = co_await other.receiveHeader();
    cr_assert(header.starts_with("HTTP/1.1 200"));
    cr_assert_eq(server.openRequests(), 0, "a shutdown would wait for the request");
}

asio::awaitable<void> onlyIdleConnectionsAreClosedSteps(HttpServer &server)
{
    RawCaller idle;
    RawCaller slow;
    RawCaller half;
    RawCaller fresh;
    for (RawCaller *caller : {&idle, &slow, &half, &fresh}) {
        co_await caller->connect(server);
    }
    co_await pauseFor(50ms);
    co_await slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    co_await half.send("GET /ok HTTP/1.1\r\nHo");
    co_await pauseFor(50ms);
    co_await fresh.send(CompleteRequest);
    cr_assert_eq(server.unfinishedRequests(), 3, "%zu requests", server.unfinishedRequests());
    server.beginDrain();
    server.closeIdleConnections();
    const std::string none = co_await idle.receiveHeader();
    cr_assert(none.empty());
    const std::string freshHeader = co_await fresh.receiveHeader();
    cr_assert(freshHeader.starts_with("HTTP/1.1 200"), "its request had arrived");
    co_await half.send("st: a\r\n\r\n");
    const std::string halfHeader = co_await half.receiveHeader();
    cr_assert(halfHeader.starts_with("HTTP/1.1 200"));
    const std::string slowHeader = co_await slow.receiveHeader();
    cr_assert(slowHeader.starts_with("HTTP/1.1 200"));
    co_await pauseFor(20ms);
    cr_assert_eq(server.unfinishedRequests(), 0);
}

} // namespace

Test(httpServer, aConnectionWithHalfAHeaderIsClosedAfterTheHeaderTimeout)
{
    asio::io_context context{1};
    HttpServer server(context.get_executor(), anyLoopbackPort(), respond);
    HttpServerLimits limits;
    limits.headerTimeout = 200ms;
    limits.idleTimeout = 20s;
    server.setLimits(limits);
    server.start();
    runToEnd(context, aHalfHeaderIsClosedSteps(server));
}

Test(httpServer, anIdleConnectionIsKeptBeyondTheHeaderTimeout)
{
    asio::io_context context{1};
    HttpServer server(context.get_executor(), anyLoopbackPort(), respond);
    HttpServerLimits limits;
    limits.headerTimeout = 200ms;
    limits.idleTimeout = 20s;
    server.setLimits(limits);
    server.start();
    runToEnd(context, anIdleConnectionIsKeptSteps(server));
}

Test(httpServer, anExceptionOfAHandlerClosesItsConnectionAndIsReported)
{
    asio::io_context context{1};
    HttpServer server(context.get_executor(), anyLoopbackPort(), respond);
    int failures = 0;
    server.setFailureHandler([&](const std::exception_ptr &exception) { failures += exception ? 1 : 0; });
    server.start();
    runToEnd(context, anExceptionClosesOneConnectionSteps(server));
    cr_assert_eq(failures, 1);
}

// Guards against a shutdown that closes a connection on which a request has arrived.
Test(httpServer, onlyConnectionsWithoutARequestAreClosedAsIdle)
{
    asio::io_context context{1};
    HttpServer server(context.get_executor(), anyLoopbackPort(), respond);
    server.start();
    runToEnd(context, onlyIdleConnectionsAreClosedSteps(server));
}
