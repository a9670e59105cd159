#include "responserelay.h"

#include "relaylimits.h"

#include <boost/asio/as_tuple.hpp>
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
constexpr std::uint32_t MaximumResponseHeader = 16 * 1024;

ResponseRelay::ResponseRelay(std::shared_ptr<ClientSession> session, const RequestSender &sender, KeyedRequest &keyedRequest, Watchdog &watchdog)
    : m_session(std::move(session))
    , m_sender(sender)
    , m_keyedRequest(keyedRequest)
    , m_watchdog(watchdog)
{
}

asio::awaitable<AttemptResult> ResponseRelay::run(UpstreamConnectionPtr upstream)
{
    unsigned status = 0;
    do {
        m_parser.emplace();
        m_parser->header_limit(MaximumResponseHeader);
        m_parser->body_limit(boost::none);
        m_parser->skip(m_session->m_isHead);
        const auto [error, size] = co_await http::async_read_header(upstream->socket, upstream->buffer, *m_parser, AsTuple);
        if (error) {
            const bool isMalformed = requestErrorOf(error).has_value();
            co_return isMalformed ? AttemptResult::MalformedResponse : m_sender.connectionFailure();
        }
        status = m_parser->get().result_int();
    } while (status >= 100 && status < 200 && status != 101);
    if (status == 101) {
        co_return AttemptResult::MalformedResponse;
    }
    m_startedAt = std::chrono::steady_clock::now();
    m_status = status;
    m_contentType = std::string(m_parser->get()[http::field::content_type]);
    m_targetKeepsAlive = m_parser->keep_alive();
    m_targetOverloaded = status == 503;
    const auto length = m_parser->content_length();
    const bool isSmall = m_parser->is_done() || (length && *length <= MaximumBufferedBody);
    if (isSmall) {
        co_return co_await forwardBuffered(std::move(upstream));
    }
    co_return co_await forwardStreamed(std::move(upstream));
}

void ResponseRelay::prepareResponse(bool &keepAlive)
{
    auto &message = m_parser->get();
    const bool lengthUnknown = m_parser->need_eof() || message.chunked();
    removeHopByHopFields(message);
    message.version(m_session->m_version);
    keepAlive = m_session->keepsAlive();
    if (lengthUnknown && !m_parser->is_done()) {
        // For an HTTP/1.0 caller, only the end of the connection can mark the end of the response.
        const bool canChunk = m_session->m_version >= 11;
        message.chunked(canChunk);
        keepAlive = keepAlive && canChunk;
    }
    message.keep_alive(keepAlive);
    message.set(OutcomeHeader, "known");
    message.set(RequestIdHeader, m_session->m_requestId);
    m_accepted = true;
}

asio::awaitable<AttemptResult> ResponseRelay::forwardBuffered(UpstreamConnectionPtr upstream)
{
    // Forwards nothing before the response is complete, so that the caller gets an error status if it is truncated.
    std::string content(m_parser->is_done() ? 0 : static_cast<std::size_t>(*m_parser->content_length()), '\0');
    auto &body = m_parser->get().body();
    const bool hasBody = !m_parser->is_done();
    body.data = content.data();
    body.size = content.size();
    if (hasBody) {
        const auto [error, size] = co_await http::async_read(upstream->socket, upstream->buffer, *m_parser, AsTuple);
        if (error) {
            co_return m_sender.connectionFailure();
        }
        m_keyedRequest.captureBody(content.data(), content.size());
    }
    bool keepAlive = false;
    prepareResponse(keepAlive);
    body.data = hasBody ? content.data() : nullptr;
    body.size = content.size();
    body.more = false;
    http::response_serializer<http::buffer_body> serializer(m_parser->get());
    m_session->countResponse(m_status);
    m_watchdog.disarm();
    m_session->armStallTimeout(m_session->m_writeWatchdog);
    boost::system::error_code writeError;
    if (hasBody) {
        const auto [error, size] = co_await http::async_write(m_session->m_socket, serializer, AsTuple);
        writeError = error;
    } else {
        serializer.split(true);
        const auto [error, size] = co_await http::async_write_header(m_session->m_socket, serializer, AsTuple);
        writeError = error;
    }
    m_session->m_writeWatchdog.disarm();
    m_session->m_closing = m_session->m_closing || writeError || !keepAlive;
    co_return AttemptResult::Delivered;
}

asio::awaitable<AttemptResult> ResponseRelay::forwardStreamed(UpstreamConnectionPtr upstream)
{
    bool keepAlive = false;
    prepareResponse(keepAlive);
    auto &body = m_parser->get().body();
    body.data = nullptr;
    body.size = 0;
    body.more = true;
    m_session->countResponse(m_status);
    upstream->buffer.reserve(RelayBufferSize);
    std::vector<char> buffer(RelayBufferSize);
    http::response_serializer<http::buffer_body> serializer(m_parser->get());
    bool isFinished = false;
    while (!isFinished) {
        body.data = buffer.data();
        body.size = buffer.size();
        std::size_t filled = 0;
        if (!m_parser->is_done()) {
            const auto [error, size] = co_await http::async_read_some(upstream->socket, upstream->buffer, *m_parser, AsTuple);
            filled = buffer.size() - body.size;
            if (error && error != http::error::need_buffer) {
                m_targetOverloaded = true;
                co_return AttemptResult::Aborted;
            }
        }
        isFinished = m_parser->is_done();
        if (filled == 0 && !isFinished) {
            continue;
        }
        m_keyedRequest.captureBody(buffer.data(), filled);
        body.data = filled == 0 ? nullptr : buffer.data();
        body.size = filled;
        body.more = !isFinished;
        m_session->armStallTimeout(m_session->m_writeWatchdog);
        const auto [error, size] = co_await http::async_write(m_session->m_socket, serializer, AsTuple);
        m_session->m_writeWatchdog.disarm();
        if (error && error != http::error::need_buffer) {
            co_return AttemptResult::Aborted;
        }
    }
    m_session->m_closing = m_session->m_closing || !keepAlive;
    co_return AttemptResult::Delivered;
}

} // namespace Hyssop::Internal
