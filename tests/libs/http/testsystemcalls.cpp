#include <http/httpclient.h>
#include <support/coroutines.h>

#include <criterion/criterion.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdarg>
#include <string>
#include <thread>

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

thread_local int receiveCalls = 0;
thread_local int controlCalls = 0;
thread_local std::size_t sentBuffers = 0;

} // namespace

// These definitions replace those of the C library in this program, and count the calls of each thread.
extern "C" ssize_t recv(int socket, void *buffer, size_t size, int flags)
{
    ++receiveCalls;
    return syscall(SYS_recvfrom, socket, buffer, size, flags, nullptr, nullptr);
}

extern "C" ssize_t recvmsg(int socket, struct msghdr *message, int flags)
{
    ++receiveCalls;
    return syscall(SYS_recvmsg, socket, message, flags);
}

extern "C" ssize_t sendmsg(int socket, const struct msghdr *message, int flags)
{
    sentBuffers += message->msg_iovlen;
    return syscall(SYS_sendmsg, socket, message, flags);
}

extern "C" int ioctl(int file, unsigned long request, ...) noexcept
{
    ++controlCalls;
    va_list arguments;
    va_start(arguments, request);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    return static_cast<int>(syscall(SYS_ioctl, file, request, argument));
}

namespace {

constexpr int Exchanges = 20;
constexpr std::size_t ReportSize = 900; // of a worker with a dozen runs
constexpr int ConnectionCalls = 2; // that prepare the socket of the only connection

/// Answers the requests of one connection.
void serve(Tcp::acceptor &acceptor)
{
    Tcp::socket socket = acceptor.accept();
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(ReportSize) + "\r\n\r\n" + std::string(ReportSize, 'x');
    std::string request;
    boost::system::error_code error;
    while (!error) {
        const std::size_t size = asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (!error) {
            request.erase(0, size);
            asio::write(socket, asio::buffer(response), error);
        }
    }
}

asio::awaitable<void> exchangeAll(HttpClient &client, const std::string &address)
{
    for (int exchange = 0; exchange < Exchanges; ++exchange) {
        auto outcome = co_await client.send(address, boost::beast::http::verb::get, "/", {}, 5s);
        cr_assert_null(errorOf(outcome));
        cr_assert_eq(valueOf(outcome)->body().size(), ReportSize);
    }
}

asio::awaitable<void> post(HttpClient &client, std::string address, std::string body)
{
    auto outcome = co_await client.send(address, boost::beast::http::verb::post, "/", std::move(body), 20s);
    cr_assert_null(errorOf(outcome));
}

} // namespace

// Guards against system calls that add nothing: an owner sends thousands of requests a second on open connections.
Test(systemCalls, fewForAnExchangeOnAnOpenConnection)
{
    asio::io_context serverContext;
    Tcp::acceptor acceptor(serverContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::thread server([&] { serve(acceptor); });
    asio::io_context context(1);
    {
        HttpClient client(context.get_executor());
        receiveCalls = 0;
        controlCalls = 0;
        sentBuffers = 0;
        runToEnd(context, exchangeAll(client, address));
    }
    server.join();
    // The check of the idle connection, the attempt before the response arrives, and the response.
    cr_assert_leq(receiveCalls, 3 * Exchanges);
    cr_assert_leq(controlCalls, ConnectionCalls);
    // The header and the body.
    cr_assert_leq(sentBuffers, 2 * Exchanges);
}

// Guards against turns of the event loop that add nothing, for example one after a request that the socket has taken at once.
Test(eventLoop, hasFewTurnsForAnExchangeOnAnOpenConnection)
{
    constexpr std::size_t TurnsOfExchange = 3; // the event of the socket, the response, and its timer
    constexpr std::size_t TurnsOfConnection = 10;
    asio::io_context serverContext;
    Tcp::acceptor acceptor(serverContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::thread server([&] { serve(acceptor); });
    asio::io_context context(1);
    std::size_t turns = 0;
    {
        HttpClient client(context.get_executor());
        asio::co_spawn(context, exchangeAll(client, address), asio::detached);
        turns = context.run();
    }
    server.join();
    cr_assert_leq(turns, Exchanges * TurnsOfExchange + TurnsOfConnection, "%zu turns", turns);
}

// Guards against a request that is cut or repeated if the socket takes only a part of it at once.
Test(eventLoop, aLargeRequestIsSentInFull)
{
    constexpr std::size_t Size = 8 * 1024 * 1024;
    asio::io_context serverContext;
    Tcp::acceptor acceptor(serverContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::string body(Size, 'x');
    for (std::size_t index = 0; index < Size; ++index) {
        body[index] = static_cast<char>('a' + index * 7919 / 1021 % 26);
    }
    std::string received;
    std::thread server([&] {
        Tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        const std::size_t header = asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        received.erase(0, header);
        asio::read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(Size - received.size()), error);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), error);
    });
    asio::io_context context(1);
    {
        HttpClient client(context.get_executor());
        runToEnd(context, post(client, address, body));
    }
    server.join();
    cr_assert_eq(received.size(), Size);
    cr_assert(received == body);
}
