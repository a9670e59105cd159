#include "faketarget.h"

#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <set>
#include <sstream>
#include <utility>

namespace Hyssop::Testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaximumBody = 64 * 1024 * 1024;

struct FakeTarget::State
{
    explicit State(const asio::any_io_executor &executor)
        : acceptor(executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , address(formatEndpoint(acceptor.local_endpoint()))
    {
    }

    tcp::acceptor acceptor;
    std::string address;
    std::set<std::shared_ptr<tcp::socket>> sockets;
    std::map<std::string, int> executions;
    int total = 0;
    int connections = 0;
    bool stopped = false;
    std::string lastHeader;
};

FakeTarget::FakeTarget(asio::any_io_executor executor)
    : m_state(std::make_shared<State>(executor))
{
}

FakeTarget::~FakeTarget()
{
    stop();
}

void FakeTarget::start()
{
    asio::co_spawn(m_state->acceptor.get_executor(), accept(m_state, this), asio::detached);
}

void FakeTarget::stop()
{
    boost::system::error_code ignored;
    m_state->stopped = true;
    m_state->acceptor.close(ignored);
    for (const auto &socket : m_state->sockets) {
        socket->close(ignored);
    }
}

std::string FakeTarget::address() const
{
    return m_state->address;
}

int FakeTarget::executions(const std::string &id) const
{
    const auto found = m_state->executions.find(id);
    return found == m_state->executions.end() ? 0 : found->second;
}

int FakeTarget::totalExecutions() const
{
    return m_state->total;
}

int FakeTarget::connections() const
{
    return m_state->connections;
}

std::string FakeTarget::lastHeader() const
{
    return m_state->lastHeader;
}

asio::awaitable<void> FakeTarget::accept(std::shared_ptr<State> state, FakeTarget *target)
{
    while (!state->stopped) {
        auto [error, socket] = co_await state->acceptor.async_accept(AsTuple);
        if (error || state->stopped) {
            co_return;
        }
        ++state->connections;
        auto shared = std::make_shared<tcp::socket>(std::move(socket));
        boost::system::error_code ignored;
        shared->set_option(tcp::no_delay(true), ignored);
        state->sockets.insert(shared);
        asio::co_spawn(state->acceptor.get_executor(), serve(state, target, shared), asio::detached);
    }
}

static asio::awaitable<bool> writeText(std::shared_ptr<tcp::socket> socket, std::string text)
{
    const auto [error, size] = co_await asio::async_write(*socket, asio::buffer(text), AsTuple);
    co_return !error;
}

asio::awaitable<void> FakeTarget::serve(std::shared_ptr<State> state, FakeTarget *target, std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (!state->stopped) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaximumBody);
        const auto [headerError, headerSize] = co_await http::async_read_header(*socket, buffer, parser, AsTuple);
        if (headerError || state->stopped) {
            break;
        }
        if (parser.get().target() == "/healthz") {
            const int status = target->healthStatus;
            if (status == 0) {
                break;
            }
            const bool isHealthWritten = co_await writeText(socket, "HTTP/1.1 " + std::to_string(status) + " Health\r\nContent-Length: 0\r\n\r\n");
            if (!isHealthWritten) {
                break;
            }
            continue;
        }
        if (parser.get().target().starts_with("/early")) {
            co_await writeText(socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nearly");
            break;
        }
        const auto [bodyError, bodySize] = co_await http::async_read(*socket, buffer, parser, AsTuple);
        if (bodyError || state->stopped) {
            break;
        }
        ++state->total;
        ++state->executions[std::string(parser.get()["X-Id"])];
        std::ostringstream header;
        header << parser.get().base();
        state->lastHeader = header.str();
        const bool isReusable = co_await respond(state, socket, parser.release());
        if (!isReusable) {
            break;
        }
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    state->sockets.erase(socket);
}

static std::string responseText(const HttpRequest &request, const std::string &body, const std::string &extraHeader = {})
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(request["X-Id"]) + "\r\n" + extraHeader + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

static std::string chunkedText(const std::string &body)
{
    constexpr std::size_t ChunkSize = 5000;
    std::ostringstream text;
    for (std::size_t begin = 0; begin < body.size(); begin += ChunkSize) {
        const std::string chunk = body.substr(begin, ChunkSize);
        text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    return text.str();
}

asio::awaitable<bool> FakeTarget::respond(std::shared_ptr<State> state, std::shared_ptr<tcp::socket> socket, HttpRequest request)
{
    const std::string path(request.target());
    const std::size_t slash = path.rfind('/');
    const std::string action = slash == 0 ? path : path.substr(0, slash);
    const std::size_t amount = slash == 0 ? 0 : std::strtoul(path.c_str() + slash + 1, nullptr, 10);
    const std::string chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (action == "/delay") {
        asio::steady_timer timer(state->acceptor.get_executor(), std::chrono::milliseconds(amount));
        co_await timer.async_wait(AsTuple);
        co_return co_await writeText(socket, responseText(request, "id=" + std::string(request["X-Id"])));
    }
    if (action == "/huge") {
        co_return co_await writeText(socket, responseText(request, patternBody(amount)));
    }
    if (action == "/chunked") {
        co_return co_await writeText(socket, chunkedHeader + chunkedText(patternBody(amount)) + "0\r\n\r\n");
    }
    if (action == "/drip") {
        bool isWritten = co_await writeText(socket, chunkedHeader);
        asio::steady_timer timer(state->acceptor.get_executor());
        for (std::size_t i = 0; i < amount && isWritten; ++i) {
            timer.expires_after(std::chrono::milliseconds(10));
            co_await timer.async_wait(AsTuple);
            isWritten = co_await writeText(socket, "4\r\ndrop\r\n");
        }
        co_return co_await writeText(socket, "0\r\n\r\n");
    }
    if (action == "/truncate") {
        const std::string text = responseText(request, patternBody(amount));
        co_await writeText(socket, text.substr(0, text.size() - amount / 2));
        co_return false;
    }
    if (action == "/truncate-chunked") {
        co_await writeText(socket, chunkedHeader + chunkedText(patternBody(amount)));
        co_return false;
    }
    if (action == "/blackhole") {
        asio::steady_timer timer(state->acceptor.get_executor(), std::chrono::seconds(20));
        co_await timer.async_wait(AsTuple);
        co_return false;
    }
    if (action == "/unsized") {
        co_await writeText(socket, "HTTP/1.1 200 OK\r\n\r\n" + patternBody(amount));
        co_return false;
    }
    if (action == "/close-after") {
        co_await writeText(socket, responseText(request, "closing"));
        co_return false;
    }
    if (action == "/close-announced") {
        co_await writeText(socket, responseText(request, "closing", "Connection: close\r\n"));
        co_return false;
    }
    if (action == "/extra") {
        co_return co_await writeText(socket, responseText(request, "first") + responseText(request, "unsolicited"));
    }
    if (action == "/garbage") {
        co_await writeText(socket, "this is not HTTP\r\n\r\n");
        co_return false;
    }
    if (action == "/reset") {
        boost::system::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        co_return false;
    }
    if (action == "/close") {
        co_return false;
    }
    if (action == "/headers") {
        co_return co_await writeText(socket, responseText(request, state->lastHeader, "Keep-Alive: timeout=5\r\nHyssop-Outcome: not-run\r\nX-Kept: yes\r\n"));
    }
    co_return co_await writeText(socket, responseText(request, "id=" + std::string(request["X-Id"]) + " path=" + path + " body=" + request.body()));
}

std::string patternBody(std::size_t size)
{
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        body[i] = static_cast<char>('a' + (i * 7 + i / 26 + size) % 26);
    }
    return body;
}

} // namespace Hyssop::Testing
