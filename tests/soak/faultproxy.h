#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Hyssop::Soak {

/// Faults of a network link.
enum class LinkFault {
    None,
    Delayed, // data is forwarded with a delay
    Blackholed, // data is dropped in both directions; new connections are still accepted
    ResponsesDropped, // data reaches the server, but its responses are dropped
    Reset, // open and new connections are reset
};

/// Forwards TCP connections from a loopback port to a server on loopback, and injects link faults on request.
class FaultProxy
{
public:
    /// Listens on @p port (0: any free one).
    FaultProxy(boost::asio::any_io_executor executor, std::uint16_t port, boost::asio::ip::tcp::endpoint server);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Sets the fault of all connections. A connection that drops data continues to do so until it is closed.
    void setFault(LinkFault fault);

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(ConnectionPtr connection);
    boost::asio::awaitable<void> forward(ConnectionPtr connection, bool toServer);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_server;
    LinkFault m_fault = LinkFault::None;
    std::set<ConnectionPtr> m_connections;
};

} // namespace Hyssop::Soak
