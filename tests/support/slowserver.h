#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>
#include <string>

namespace Hyssop {

/// How a SlowServer responds.
struct SlowResponse
{
    std::string body;
    std::string fields; // of the header, each with its line end
    std::chrono::milliseconds headerDelay{0};
    std::size_t pieceSize = 1;
    std::chrono::milliseconds pieceInterval{0};
    std::size_t stallsAfter = std::numeric_limits<std::size_t>::max(); // bytes of the body after which nothing more is sent
};

/// HTTP server on a loopback port whose response bodies arrive in pieces.
class SlowServer
{
public:
    SlowServer(const boost::asio::any_io_executor &executor, SlowResponse response)
        : m_acceptor(executor, {boost::asio::ip::address_v4::loopback(), 0})
        , m_response(std::move(response))
    {
        boost::asio::co_spawn(executor, acceptConnections(), boost::asio::detached);
    }

    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_acceptor.local_endpoint(); }
    int requests() const { return m_requests; }

private:
    static constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> acceptConnections()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(AsTuple);
            if (error) {
                co_return;
            }
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            boost::beast::http::request<boost::beast::http::string_body> request;
            const auto [error, size] = co_await boost::beast::http::async_read(socket, buffer, request, AsTuple);
            if (error) {
                co_return;
            }
            ++m_requests;
            if (!co_await respond(socket)) {
                co_return;
            }
        }
    }

    boost::asio::awaitable<bool> respond(boost::asio::ip::tcp::socket &socket)
    {
        co_await pause(m_response.headerDelay);
        if (!co_await send(socket, "HTTP/1.1 200 OK\r\n" + m_response.fields + "Content-Length: " + std::to_string(m_response.body.size()) + "\r\n\r\n")) {
            co_return false;
        }
        const std::size_t end = std::min(m_response.body.size(), m_response.stallsAfter);
        for (std::size_t position = 0; position < end; position += m_response.pieceSize) {
            co_await pause(m_response.pieceInterval);
            if (!co_await send(socket, m_response.body.substr(position, std::min(m_response.pieceSize, end - position)))) {
                co_return false;
            }
        }
        co_return true;
    }

    static boost::asio::awaitable<bool> send(boost::asio::ip::tcp::socket &socket, std::string bytes)
    {
        const auto [error, size] = co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), AsTuple);
        co_return !error;
    }

    boost::asio::awaitable<void> pause(std::chrono::milliseconds delay)
    {
        boost::asio::steady_timer timer(m_acceptor.get_executor(), delay);
        co_await timer.async_wait(AsTuple);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    SlowResponse m_response;
    int m_requests = 0;
};

} // namespace Hyssop
