#include "rpcserver.h"

#include "codec.h"
#include "errormessage.h"
#include "frame.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <chrono>
#include <list>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::size_t MaximumConnections = 1024;
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

struct RpcConnection
{
    explicit RpcConnection(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    bool isIdle() const
    {
        boost::system::error_code ignored;
        return isReading && stream.socket().available(ignored) == 0;
    }

    boost::beast::tcp_stream stream;
    bool isReading = true; // waits for a request
};

struct RpcServerState
{
    RpcServerState(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, RpcServer::Handler messageHandler)
        : acceptor(executor, endpoint)
        , handler(std::move(messageHandler))
    {
    }

    asio::ip::tcp::acceptor acceptor;
    RpcServer::Handler handler;
    std::list<RpcConnection> connections;
    std::uint64_t malformedFrames = 0;
    bool stopped = false;
};

using RpcServerStatePtr = std::shared_ptr<RpcServerState>;

static asio::awaitable<void> serveFrames(RpcServerStatePtr state, RpcConnection &connection)
{
    boost::beast::tcp_stream &stream = connection.stream;
    while (!state->stopped) {
        connection.isReading = true;
        auto frame = co_await readFrame(stream);
        connection.isReading = false;
        if (const Error *error = errorOf(frame)) {
            if (error->code == ErrorCode::TooLarge) {
                ++state->malformedFrames;
            }
            co_return;
        }
        auto request = capture([&] { return decodeEnvelope(*valueOf(frame)); });
        Wire::Envelope reply;
        if (const Error *error = errorOf(request)) {
            ++state->malformedFrames;
            reply.message = errorMessage(*error);
            co_await writeFrame(stream, encode(reply));
            // The position of the next frame is no longer reliable, so the connection is closed.
            co_return;
        }
        reply.id = valueOf(request)->id;
        reply.message = co_await state->handler(valueOf(request)->message);
        auto written = co_await writeFrame(stream, encode(reply));
        if (errorOf(written) != nullptr) {
            co_return;
        }
    }
}

static asio::awaitable<void> serveConnection(RpcServerStatePtr state, std::list<RpcConnection>::iterator connection)
{
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_await serveFrames(state, *connection);
    state->connections.erase(connection);
}

static asio::awaitable<void> acceptConnections(RpcServerStatePtr state)
{
    while (!state->stopped) {
        auto [error, socket] = co_await state->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error || state->connections.size() >= MaximumConnections) {
            // Out of file descriptors or connections: retrying without a delay would keep a core busy.
            asio::steady_timer timer(state->acceptor.get_executor(), AcceptRetryDelay);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        state->connections.emplace_back(std::move(socket));
        const auto connection = std::prev(state->connections.end());
        asio::co_spawn(state->acceptor.get_executor(), serveConnection(state, connection), asio::detached);
    }
}

} // namespace Internal

RpcServer::RpcServer(asio::any_io_executor executor, const asio::ip::tcp::endpoint &endpoint, Handler handler)
    : m_state(std::make_shared<Internal::RpcServerState>(executor, endpoint, std::move(handler)))
{
}

RpcServer::~RpcServer()
{
    stop();
}

void RpcServer::start()
{
    asio::co_spawn(m_state->acceptor.get_executor(), Internal::acceptConnections(m_state), asio::detached);
}

void RpcServer::stop()
{
    m_state->stopped = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (Internal::RpcConnection &connection : m_state->connections) {
        connection.stream.socket().close(ignored);
    }
}

void RpcServer::closeIdleConnections()
{
    for (Internal::RpcConnection &connection : m_state->connections) {
        if (connection.isIdle()) {
            connection.stream.cancel();
        }
    }
}

std::size_t RpcServer::unfinishedRequests() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_state->connections, [](const Internal::RpcConnection &connection) { return !connection.isIdle(); }));
}

asio::ip::tcp::endpoint RpcServer::localEndpoint() const
{
    return m_state->acceptor.local_endpoint();
}

std::uint64_t RpcServer::malformedFrames() const
{
    return m_state->malformedFrames;
}

} // namespace Hyssop
