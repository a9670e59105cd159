#include "rpcclient.h"

#include "codec.h"
#include "frame.h"

#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::size_t MaximumIdleConnections = 4; // per address

struct RpcConnection
{
    explicit RpcConnection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
};

using RpcConnectionPtr = std::unique_ptr<RpcConnection>;

class RpcConnectionPool
{
public:
    explicit RpcConnectionPool(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    const asio::any_io_executor &executor() const { return m_executor; }
    std::int64_t takeId() { return ++m_lastId; }

    RpcConnectionPtr takeIdle(const std::string &address)
    {
        auto &idle = m_idle[address];
        if (idle.empty()) {
            return nullptr;
        }
        RpcConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }

    void putBack(const std::string &address, RpcConnectionPtr connection)
    {
        auto &idle = m_idle[address];
        if (idle.size() < MaximumIdleConnections) {
            idle.push_back(std::move(connection));
        }
    }

    /// Closes all idle connections to @p address: if one is closed, the peer has probably restarted and closed them all.
    void dropIdle(const std::string &address) { m_idle.erase(address); }

private:
    asio::any_io_executor m_executor;
    std::map<std::string, std::vector<RpcConnectionPtr>> m_idle;
    std::int64_t m_lastId = 0;
};

static bool isUsable(RpcConnection &connection)
{
    // No reply is outstanding on an idle connection. If it is readable, the peer has closed it or sent unexpected data.
    boost::system::error_code error;
    char byte = 0;
    connection.stream.socket().non_blocking(true, error);
    connection.stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

static asio::awaitable<Outcome<Wire::Message>> exchange(RpcConnection &connection, const Wire::Envelope &request)
{
    auto written = co_await writeFrame(connection.stream, encode(request));
    if (const Error *error = errorOf(written)) {
        co_return *error;
    }
    auto frame = co_await readFrame(connection.stream);
    if (const Error *error = errorOf(frame)) {
        co_return *error;
    }
    auto reply = capture([&] { return decodeEnvelope(*valueOf(frame)); });
    if (const Error *error = errorOf(reply)) {
        co_return *error;
    }
    if (valueOf(reply)->id != request.id) {
        co_return Error{ErrorCode::Malformed, "the id of the reply does not match the request"};
    }
    co_return std::move(valueOf(reply)->message);
}

static asio::awaitable<Outcome<Wire::Message>> connectAndExchange(RpcConnection &connection, asio::ip::tcp::endpoint endpoint, const Wire::Envelope &request)
{
    if (!connection.stream.socket().is_open()) {
        const auto [error] = co_await connection.stream.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return Error{ErrorCode::Unavailable, error.message()};
        }
        boost::system::error_code ignored;
        connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    co_return co_await exchange(connection, request);
}

} // namespace Internal

RpcClient::RpcClient(asio::any_io_executor executor)
    : m_pool(std::make_shared<Internal::RpcConnectionPool>(std::move(executor)))
{
}

RpcClient::~RpcClient() = default;

asio::awaitable<Outcome<Wire::Message>> RpcClient::call(std::string address, Wire::Message message, std::chrono::milliseconds timeout)
{
    const auto pool = m_pool;
    auto parsed = capture([&] { return parseEndpoint(address); });
    if (const Error *error = errorOf(parsed)) {
        co_return *error;
    }
    Internal::RpcConnectionPtr connection = pool->takeIdle(address);
    if (connection && !Internal::isUsable(*connection)) {
        pool->dropIdle(address);
        connection.reset();
    }
    if (!connection) {
        connection = std::make_unique<Internal::RpcConnection>(pool->executor());
    }
    Wire::Envelope request;
    request.id = pool->takeId();
    request.message = std::move(message);
    connection->stream.expires_after(timeout);
    auto outcome = co_await Internal::connectAndExchange(*connection, *valueOf(parsed), request);
    if (valueOf(outcome) != nullptr) {
        connection->stream.expires_never();
        pool->putBack(address, std::move(connection));
    }
    co_return outcome;
}

} // namespace Hyssop
