#pragma once

#include "hyssop_types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace Hyssop {

namespace Internal {
struct RpcServerState;
}

/// Accepts connections from other processes of the system and handles their requests, one at a time for each connection.
class RpcServer
{
public:
    using Handler = std::function<boost::asio::awaitable<Wire::Message>(const Wire::Message &)>;

    /// Binds and listens immediately. Throws boost::system::system_error if the address is in use.
    RpcServer(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint, Handler handler);
    ~RpcServer();

    /// Starts accepting connections.
    void start();

    /// Closes the connections without an open request. A request that is read before the connection is closed gets its reply.
    void closeIdleConnections();

    /// Number of requests that have arrived and have no reply yet.
    std::size_t unfinishedRequests() const;

    /// Stops accepting and closes every connection.
    void stop();

    boost::asio::ip::tcp::endpoint localEndpoint() const;

    /// Number of frames since the start that could not be decoded or were too large.
    std::uint64_t malformedFrames() const;

private:
    std::shared_ptr<Internal::RpcServerState> m_state;
};

} // namespace Hyssop
