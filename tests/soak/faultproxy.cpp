#include "faultproxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Hyssop::Soak {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds Delay{300};

} // namespace

struct FaultProxy::Connection
{
    explicit Connection(asio::ip::tcp::socket accepted)
        : client(std::move(accepted))
        , server(client.get_executor())
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        server.close(ignored);
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    bool dropsRequests = false;
    bool dropsResponses = false;
};

FaultProxy::FaultProxy(asio::any_io_executor executor, std::uint16_t port, asio::ip::tcp::endpoint server)
    : m_executor(executor)
    , m_acceptor(executor, {asio::ip::address_v4::loopback(), port})
    , m_server(std::move(server))
{
    asio::co_spawn(m_executor, accept(), asio::detached);
}

void FaultProxy::setFault(LinkFault fault)
{
    m_fault = fault;
    for (const ConnectionPtr &connection : m_connections) {
        connection->dropsRequests = connection->dropsRequests || fault == LinkFault::Blackholed;
        connection->dropsResponses = connection->dropsResponses || fault == LinkFault::Blackholed || fault == LinkFault::ResponsesDropped;
        if (fault == LinkFault::Reset) {
            connection->reset();
        }
    }
}

asio::awaitable<void> FaultProxy::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(AsTuple);
        if (error) {
            co_return;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->dropsRequests = m_fault == LinkFault::Blackholed;
        connection->dropsResponses = m_fault == LinkFault::Blackholed || m_fault == LinkFault::ResponsesDropped;
        if (m_fault == LinkFault::Reset) {
            connection->reset();
        } else {
            asio::co_spawn(m_executor, serve(std::move(connection)), asio::detached);
        }
    }
}

asio::awaitable<void> FaultProxy::serve(ConnectionPtr connection)
{
    const auto [error] = co_await connection->server.async_connect(m_server, AsTuple);
    if (error) {
        connection->reset();
        co_return;
    }
    m_connections.insert(connection);
    asio::co_spawn(m_executor, forward(connection, true), asio::detached);
    co_await forward(connection, false);
    m_connections.erase(connection);
}

asio::awaitable<void> FaultProxy::forward(ConnectionPtr connection, bool toServer)
{
    asio::ip::tcp::socket &from = toServer ? connection->client : connection->server;
    asio::ip::tcp::socket &to = toServer ? connection->server : connection->client;
    std::array<char, 16 * 1024> buffer{};
    while (true) {
        const auto [readError, size] = co_await from.async_read_some(asio::buffer(buffer), AsTuple);
        if (readError) {
            break;
        }
        if (m_fault == LinkFault::Delayed) {
            asio::steady_timer timer(m_executor, Delay);
            co_await timer.async_wait(AsTuple);
        }
        if (toServer ? connection->dropsRequests : connection->dropsResponses) {
            continue;
        }
        const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buffer.data(), size), AsTuple);
        if (writeError) {
            break;
        }
    }
    // A client whose responses are dropped must not see that the connection has ended.
    if (!connection->dropsResponses) {
        boost::system::error_code ignored;
        connection->client.close(ignored);
    }
    boost::system::error_code ignored;
    connection->server.close(ignored);
}

} // namespace Hyssop::Soak
