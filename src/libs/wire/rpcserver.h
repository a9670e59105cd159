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

/// Accepts connections from other processes of the system and answers their messages, one at a time per connection.
class RpcServer
{
public:
    using Handler = std::function<boost::asio::awaitable<Wire::Message>(const Wire::Message &)>;

    /// Binds and listens at once. Throws boost::system::system_error if the address is in use.
    RpcServer(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint, Handler handler);
    ~RpcServer();

    /// Starts to accept connections.
    void start();

    /// Stops accepting and closes every connection.
    void stop();

    boost::asio::ip::tcp::endpoint localEndpoint() const;

    /// Frames that could not be decoded since the start.
    std::uint64_t malformedFrames() const;

private:
    std::shared_ptr<Internal::RpcServerState> m_state;
};

} // namespace Hyssop
