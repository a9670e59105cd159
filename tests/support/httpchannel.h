#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <string>

namespace Hyssop::Testing {

/// How a call on an HttpChannel has ended.
struct ChannelCallResult
{
    int status = 0; // 0: there was no complete response
    std::chrono::milliseconds time{0}; // since the last byte of the request was sent
};

/// A connection that a caller keeps open, for one call at a time.
class HttpChannel
{
public:
    /// Connects to @p address, which is IP-ADDRESS:PORT.
    explicit HttpChannel(const std::string &address);

    /// Sends a request and waits until there is a response or the connection ends, for ten seconds at most.
    ChannelCallResult call(const std::string &method, const std::string &path, const std::string &host, const std::string &body = {});

private:
    boost::asio::io_context m_context{1};
    boost::beast::tcp_stream m_stream{m_context};
};

} // namespace Hyssop::Testing
