#include "httpclient.h"

#include <utils/endpoint.h>
#include <utils/overloaded.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <sys/types.h>
#include <sys/uio.h>

namespace Hyssop {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace Internal {

constexpr std::size_t MaximumIdleConnections = 8; // per address
constexpr std::uint64_t MaximumResponseSize = 4 * 1024 * 1024;
// Lower than the share of one of a hundred readers of a link of 30 Mbit/s; bounds the time of a response of the maximum size.
constexpr std::int64_t MinimumBodyBytesPerSecond = 16 * 1024;
// A body takes few turns of an event loop that is busy with other connections, and few reads that open a small window again.
constexpr std::size_t BodyPieceSize = 64 * 1024;
// Larger bodies get a buffer of their size. Small ones keep the small buffer, because an owner has hundreds of requests open.
constexpr std::size_t MaximumSmallBody = 4096;
// Larger than most reports of workers. Each open request has such a buffer.
constexpr std::size_t ResponseBufferSize = 1536;
constexpr std::size_t HeaderSize = 256; // expected size of the header of a request
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

using StreamPtr = std::unique_ptr<beast::tcp_stream>;

class HttpConnectionPool
{
public:
    explicit HttpConnectionPool(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /// Returns an idle connection that the peer has not closed, or a new unconnected one.
    StreamPtr take(const std::string &address)
    {
        auto &idle = m_idle[address];
        while (!idle.empty()) {
            StreamPtr stream = std::move(idle.back());
            idle.pop_back();
            if (isUsable(*stream)) {
                return stream;
            }
        }
        return std::make_unique<beast::tcp_stream>(m_executor);
    }

    void putBack(const std::string &address, StreamPtr stream)
    {
        auto &idle = m_idle[address];
        if (idle.size() < MaximumIdleConnections) {
            stream->expires_never();
            idle.push_back(std::move(stream));
        }
    }

    /// Closes the idle connections to @p address.
    void closeIdle(const std::string &address) { m_idle.erase(address); }

private:
    static bool isUsable(beast::tcp_stream &stream)
    {
        // No response is outstanding on an idle connection, so a readable one is closed or has sent unexpected bytes.
        char byte = 0;
        const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    asio::any_io_executor m_executor;
    std::map<std::string, std::vector<StreamPtr>> m_idle;
};

using ResponseParser = http::response_parser<http::string_body>;

static std::chrono::milliseconds responseTimeout(const HttpClient::Timeout &timeout)
{
    return std::visit(Overloaded{[](std::chrono::milliseconds total) { return total; }, [](const HttpTimeouts &timeouts) { return timeouts.response; }},
                      timeout);
}

static Error transferError(const boost::system::error_code &error)
{
    return {error == beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Closed, error.message()};
}

static Error connectionError(const std::string &address, const boost::system::error_code &error)
{
    const ErrorCode code = error == asio::error::connection_refused ? ErrorCode::ConnectionRefused : ErrorCode::Unavailable;
    return {code, "connection to " + address + ": " + error.message()};
}

static Error responseError(const boost::system::error_code &error, const ResponseParser &parser)
{
    Error result = transferError(error);
    result.message += parser.is_header_done() ? " after " + std::to_string(parser.get().body().size()) + " bytes of the body" : " before the response";
    return result;
}

static std::chrono::milliseconds timeAtMinimumRate(std::size_t bytes)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(bytes) * 1000 / MinimumBodyBytesPerSecond);
}

/// Prepares the buffer for the body. A read takes no more than the capacity, and the parser leaves the buffer empty.
static void reserveForBody(beast::flat_buffer &buffer, const ResponseParser &parser)
{
    const std::uint64_t size = parser.content_length_remaining().value_or(0);
    if (size > MaximumSmallBody) {
        buffer.reserve(std::min<std::uint64_t>(size, BodyPieceSize));
    }
}

/// Reads the body. Each piece moves the deadline, and a stall is the time without a byte or behind the minimum rate.
static asio::awaitable<boost::system::error_code>
readProgressingBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser, std::chrono::milliseconds stall)
{
    const auto begin = std::chrono::steady_clock::now();
    std::size_t received = 0;
    while (!parser.is_done()) {
        const auto now = std::chrono::steady_clock::now();
        stream.expires_at(std::min(now, begin + timeAtMinimumRate(received)) + stall);
        const auto [error, size] = co_await http::async_read_some(stream, buffer, parser, AsTuple);
        if (error) {
            co_return error;
        }
        received += size;
    }
    co_return boost::system::error_code();
}

static asio::awaitable<boost::system::error_code>
readResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser, const HttpClient::Timeout &timeout)
{
    // Most responses are so short that one read takes the header and the body.
    buffer.reserve(ResponseBufferSize);
    parser.eager(true);
    while (!parser.is_header_done()) {
        const auto [error, size] = co_await http::async_read_some(stream, buffer, parser, AsTuple);
        if (error) {
            co_return error;
        }
    }
    if (parser.is_done()) {
        co_return boost::system::error_code();
    }
    reserveForBody(buffer, parser);
    if (const auto *timeouts = std::get_if<HttpTimeouts>(&timeout)) {
        co_return co_await readProgressingBody(stream, buffer, parser, timeouts->stall);
    }
    const auto [bodyError, bodySize] = co_await http::async_read(stream, buffer, parser, AsTuple);
    co_return bodyError;
}

static void append(std::string &text, beast::string_view part)
{
    text.append(part.data(), part.size());
}

/// Returns the request line and the fields of @p request.
static std::string headerOf(const HttpRequest &request)
{
    std::string header;
    header.reserve(HeaderSize);
    append(header, request.method_string());
    header += ' ';
    append(header, request.target());
    header += request.version() == 10 ? " HTTP/1.0\r\n" : " HTTP/1.1\r\n";
    for (const auto &field : request) {
        append(header, field.name_string());
        header += ": ";
        append(header, field.value());
        header += "\r\n";
    }
    header += "\r\n";
    return header;
}

/// Sends as much of @p header and @p body as the socket takes without waiting, and returns how much that is. Most requests fit into its
/// buffer, and need no turn of the event loop.
static std::size_t sendWithoutWaiting(beast::tcp_stream &stream, const std::string &header, const std::string &body, boost::system::error_code &error)
{
    // sendmsg() does not write to the buffers.
    std::array<iovec, 2> buffers{iovec{const_cast<char *>(header.data()), header.size()}, iovec{const_cast<char *>(body.data()), body.size()}};
    msghdr message{};
    message.msg_iov = buffers.data();
    message.msg_iovlen = buffers.size();
    const ssize_t sent = ::sendmsg(stream.socket().native_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
        return static_cast<std::size_t>(sent);
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        error.assign(errno, boost::system::system_category());
    }
    return 0;
}

static asio::awaitable<Outcome<HttpResponse>> exchange(beast::tcp_stream &stream, const HttpRequest &request, const HttpClient::Timeout &timeout)
{
    const std::string header = headerOf(request);
    boost::system::error_code writeError;
    const std::size_t sent = sendWithoutWaiting(stream, header, request.body(), writeError);
    if (!writeError && sent < header.size() + request.body().size()) {
        const std::size_t sentOfBody = sent - std::min(sent, header.size());
        const std::array<asio::const_buffer, 2> rest{asio::buffer(header) + sent, asio::buffer(request.body()) + sentOfBody};
        writeError = std::get<0>(co_await asio::async_write(stream, rest, AsTuple));
    }
    if (writeError) {
        co_return transferError(writeError);
    }
    beast::flat_buffer buffer;
    ResponseParser parser;
    parser.body_limit(MaximumResponseSize);
    if (const auto readError = co_await readResponse(stream, buffer, parser, timeout)) {
        co_return responseError(readError, parser);
    }
    co_return parser.release();
}

} // namespace Internal

HttpClient::HttpClient(asio::any_io_executor executor)
    : m_pool(std::make_shared<Internal::HttpConnectionPool>(std::move(executor)))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<Outcome<HttpResponse>> HttpClient::send(std::string address, HttpRequest request, Timeout timeout)
{
    const auto pool = m_pool;
    if (request[http::field::host].empty()) {
        request.set(http::field::host, address);
    }
    request.prepare_payload();
    Internal::StreamPtr stream = pool->take(address);
    stream->expires_after(Internal::responseTimeout(timeout));
    if (!stream->socket().is_open()) {
        auto endpoint = capture([&] { return parseEndpoint(address); });
        if (const Error *error = errorOf(endpoint)) {
            pool->closeIdle(address);
            co_return *error;
        }
        const auto [connectError] = co_await stream->async_connect(*valueOf(endpoint), Internal::AsTuple);
        if (connectError) {
            pool->closeIdle(address);
            co_return Internal::connectionError(address, connectError);
        }
        boost::system::error_code ignored;
        stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    auto outcome = co_await Internal::exchange(*stream, request, timeout);
    if (const HttpResponse *response = valueOf(outcome); response != nullptr && response->keep_alive()) {
        pool->putBack(address, std::move(stream));
    } else if (const Error *error = errorOf(outcome); error != nullptr && error->code == ErrorCode::Timeout) {
        pool->closeIdle(address); // connections that a silent path has cut look idle, and each would cost another timeout
    }
    co_return outcome;
}

asio::awaitable<Outcome<HttpResponse>> HttpClient::send(std::string address, http::verb method, std::string path, std::string body, Timeout timeout)
{
    HttpRequest request(method, path, 11);
    request.body() = std::move(body);
    co_return co_await send(std::move(address), std::move(request), timeout);
}

} // namespace Hyssop
