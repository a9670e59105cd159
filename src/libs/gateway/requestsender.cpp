#include "requestsender.h"

#include "relaylimits.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace Hyssop::Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

RequestSender::RequestSender(std::shared_ptr<ClientSession> session, const Watchdog &watchdog)
    : m_session(std::move(session))
    , m_watchdog(watchdog)
{
}

asio::awaitable<bool> RequestSender::send(UpstreamConnectionPtr upstream, bool bodyBuffered)
{
    auto &message = m_session->m_parser->get();
    m_serializer.emplace(message);
    auto &body = message.body();
    if (bodyBuffered) {
        body.data = m_session->m_body.empty() ? nullptr : m_session->m_body.data();
        body.size = m_session->m_body.size();
        body.more = false;
        const auto [error, size] = co_await http::async_write(upstream->socket, *m_serializer, AsTuple);
        m_bytesWritten += size;
        co_return !error;
    }
    body.data = nullptr;
    body.size = 0;
    body.more = true;
    m_serializer->split(true);
    const auto [error, size] = co_await http::async_write_header(upstream->socket, *m_serializer, AsTuple);
    m_bytesWritten += size;
    if (error) {
        co_return false;
    }
    m_serializer->split(false);
    m_upload = std::make_shared<Upload>(m_session->m_state->executor);
    const bool canReadBody = co_await m_session->sendContinue();
    if (!canReadBody) {
        m_upload->callerError = asio::error::eof;
        co_return false;
    }
    m_upload->running = true;
    asio::co_spawn(m_session->m_state->executor, sendBody(m_session, m_upload, upstream), asio::detached);
    co_return true;
}

asio::awaitable<void> RequestSender::sendBody(std::shared_ptr<ClientSession> session, std::shared_ptr<Upload> upload, UpstreamConnectionPtr upstream)
{
    std::vector<char> buffer(RelayBufferSize);
    auto &parser = *session->m_parser;
    auto &body = parser.get().body();
    bool isFinished = false;
    while (!isFinished) {
        std::size_t filled = 0;
        if (!parser.is_done()) {
            body.data = buffer.data();
            body.size = buffer.size();
            session->armStallTimeout(session->m_readWatchdog);
            const auto [error, size] = co_await http::async_read_some(session->m_socket, session->m_buffer, parser, AsTuple);
            session->m_readWatchdog.disarm();
            filled = buffer.size() - body.size;
            if (error && error != http::error::need_buffer) {
                upload->callerError = error;
                break;
            }
        }
        isFinished = parser.is_done();
        if (filled == 0 && !isFinished) {
            continue;
        }
        body.data = filled == 0 ? nullptr : buffer.data();
        body.size = filled;
        body.more = !isFinished;
        const auto [error, size] = co_await http::async_write(upstream->socket, *m_serializer, AsTuple);
        if (error && error != http::error::need_buffer) {
            break;
        }
    }
    session->m_bodyComplete = isFinished;
    if (upload->callerError) {
        // The target can't respond without the rest of the body.
        boost::system::error_code ignored;
        upstream->socket.close(ignored);
    }
    upload->running = false;
    upload->changed.cancel();
}

asio::awaitable<void> RequestSender::stop(UpstreamConnectionPtr upstream)
{
    if (!m_upload || !m_upload->running) {
        co_return;
    }
    // The target responded before it had received the whole request.
    boost::system::error_code ignored;
    upstream->socket.close(ignored);
    m_session->m_socket.cancel(ignored);
    m_session->m_closing = true;
    while (m_upload->running) {
        m_upload->changed.expires_after(std::chrono::seconds(1));
        co_await m_upload->changed.async_wait(AsTuple);
    }
    m_upload->callerError.clear();
}

AttemptResult RequestSender::connectionFailure() const
{
    if (m_watchdog.expired()) {
        return AttemptResult::TimedOut;
    }
    return callerError() ? AttemptResult::CallerFailed : AttemptResult::ConnectionLost;
}

} // namespace Hyssop::Internal
