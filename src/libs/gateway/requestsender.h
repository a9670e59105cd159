#pragma once

#include "attemptresult.h"
#include "clientsession.h"
#include "upstreampool.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace Hyssop::Internal {

/// Sends a request to a target in one attempt. A body that is not in memory is streamed while the response is received.
class RequestSender
{
public:
    /// @p watchdog has the deadline of the request.
    RequestSender(std::shared_ptr<ClientSession> session, const Watchdog &watchdog);

    /// Sends the header and @p bodyBuffered the body as well; otherwise begins to stream it.
    boost::asio::awaitable<bool> send(UpstreamConnectionPtr upstream, bool bodyBuffered);

    /// Ends the streaming of the body if it is not complete.
    boost::asio::awaitable<void> stop(UpstreamConnectionPtr upstream);

    /// Reason of a failure of the connection to the target.
    AttemptResult connectionFailure() const;

    std::size_t bytesWritten() const { return m_bytesWritten; }
    bool isStreamed() const { return m_upload != nullptr; }
    /// Set if the body could not be read from the caller.
    boost::system::error_code callerError() const { return m_upload ? m_upload->callerError : boost::system::error_code(); }

private:
    using Serializer = boost::beast::http::serializer<true, boost::beast::http::buffer_body>;

    /// State of a streamed request body, shared with the coroutine that sends it.
    struct Upload
    {
        explicit Upload(const boost::asio::any_io_executor &executor)
            : changed(executor)
        {
        }

        bool running = false;
        boost::system::error_code callerError; // reading the body from the caller failed
        boost::asio::steady_timer changed;
    };

    boost::asio::awaitable<void> sendBody(std::shared_ptr<ClientSession> session, std::shared_ptr<Upload> upload, UpstreamConnectionPtr upstream);

    std::shared_ptr<ClientSession> m_session;
    const Watchdog &m_watchdog;
    std::optional<Serializer> m_serializer;
    std::size_t m_bytesWritten = 0;
    std::shared_ptr<Upload> m_upload; // null: the body is not streamed
};

} // namespace Hyssop::Internal
