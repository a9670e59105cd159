#include <http/httpclient.h>
#include <support/coroutines.h>
#include <utils/endpoint.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr int Connections = 4;
constexpr std::chrono::milliseconds Timeout{300};
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// HTTP server whose open connections can go silent without a reset, while new ones work.
class SilencedServer
{
public:
    explicit SilencedServer(const asio::any_io_executor &executor)
        : m_acceptor(executor, anyLoopbackPort())
    {
        asio::co_spawn(executor, acceptConnections(), asio::detached);
    }

    std::string address() const { return formatEndpoint(m_acceptor.local_endpoint()); }
    void silenceOpenConnections() { ++m_generation; }

private:
    asio::awaitable<void> acceptConnections()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(AsTuple);
            if (error) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const int generation = m_generation;
        boost::beast::flat_buffer buffer;
        while (true) {
            boost::beast::http::request<boost::beast::http::string_body> request;
            const auto [error, size] = co_await boost::beast::http::async_read(socket, buffer, request, AsTuple);
            if (error) {
                co_return;
            }
            if (generation != m_generation) {
                continue;
            }
            co_await pauseFor(50ms); // so that concurrent requests need a connection each
            co_await asio::async_write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), AsTuple);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_generation = 0;
};

asio::awaitable<bool> succeeds(HttpClient &client, std::string address)
{
    const auto outcome = co_await client.send(address, boost::beast::http::verb::get, "/", {}, Timeout);
    co_return errorOf(outcome) == nullptr;
}

asio::awaitable<void> oneTimeoutReplacesAllSilentConnectionsSteps(SilencedServer &server, HttpClient &client)
{
    const auto executor = co_await asio::this_coro::executor;
    for (int request = 0; request < Connections; ++request) {
        asio::co_spawn(executor, succeeds(client, server.address()), asio::detached);
    }
    co_await pauseFor(200ms);
    server.silenceOpenConnections();
    int failures = 0;
    while (!co_await succeeds(client, server.address())) {
        ++failures;
    }
    cr_assert_leq(failures, 1, "%d requests in a row timed out although new connections work", failures);
}

} // namespace

Test(silentConnections, oneTimeoutReplacesAllSilentConnections)
{
    asio::io_context context{1};
    SilencedServer server(context.get_executor());
    HttpClient client(context.get_executor());
    runToEnd(context, oneTimeoutReplacesAllSilentConnectionsSteps(server, client));
}
