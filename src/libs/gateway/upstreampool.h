#pragma once

#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// Connection to a target. Carries one request at a time.
struct UpstreamConnection
{
    explicit UpstreamConnection(const boost::asio::any_io_executor &executor)
        : socket(executor)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    TimePoint idleSince;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Pool of idle connections to targets. A connection is put back only after a complete response; one with unread bytes
/// in its buffer is closed instead.
class UpstreamPool
{
public:
    /// @p idleTimeout should be shorter than that of the targets, so that the gateway closes first.
    explicit UpstreamPool(Duration idleTimeout);

    /// Returns an idle connection that the target has not closed, or null.
    UpstreamConnectionPtr takeIdle(const std::string &address, TimePoint now);

    void putBack(const std::string &address, UpstreamConnectionPtr connection, TimePoint now);

    /// Closes connections that have exceeded the idle timeout or that the target has closed.
    void closeExpired(TimePoint now);

    std::size_t size() const;

private:
    Duration m_idleTimeout;
    std::map<std::string, std::vector<UpstreamConnectionPtr>> m_idle;
};

} // namespace Hyssop::Internal
