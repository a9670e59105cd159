#pragma once

#include "hyssop_types.h"

#include <utils/result.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Hyssop {

namespace Internal {
class RpcConnectionPool;
}

/// Sends requests to other processes of the system and matches replies to requests. Must be used from one executor only.
class RpcClient
{
public:
    explicit RpcClient(boost::asio::any_io_executor executor);
    ~RpcClient();

    /// Sends @p message to @p address ("IP-ADDRESS:PORT") and waits for the reply. ErrorCode::Unavailable means that
    /// nothing was sent. After any other error the request may have taken effect, and the connection is closed.
    boost::asio::awaitable<Outcome<Wire::Message>> call(std::string address, Wire::Message message, std::chrono::milliseconds timeout);

private:
    std::shared_ptr<Internal::RpcConnectionPool> m_pool;
};

} // namespace Hyssop
