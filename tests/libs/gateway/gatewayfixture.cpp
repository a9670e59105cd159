#include "gatewayfixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <criterion/criterion.h>

#include <utility>

namespace Hyssop::Testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaximumBody = 256 * 1024 * 1024;

Caller::Caller(tcp::endpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

asio::awaitable<void> Caller::connect()
{
    if (m_socket && m_socket->is_open()) {
        co_return;
    }
    m_rest.clear();
    m_socket = std::make_unique<tcp::socket>(co_await asio::this_coro::executor);
    co_await m_socket->async_connect(m_endpoint, AsTuple);
    boost::system::error_code ignored;
    m_socket->set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> Caller::sendBytes(std::string bytes)
{
    co_await connect();
    co_await asio::async_write(*m_socket, asio::buffer(bytes), AsTuple);
}

asio::awaitable<CallerResult> Caller::send(std::string method, std::string path, std::string id, std::string body, std::string extraHeaders)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: test\r\nX-Id: " + id + "\r\n" + extraHeaders;
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    co_await sendBytes(text + "\r\n" + body);
    const bool isHead = method == "HEAD";
    co_return co_await receive(isHead);
}

asio::awaitable<CallerResult> Caller::receive(bool isHead)
{
    CallerResult result;
    boost::beast::flat_buffer buffer;
    asio::buffer_copy(buffer.prepare(m_rest.size()), asio::buffer(m_rest));
    buffer.commit(m_rest.size());
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaximumBody);
    parser.skip(isHead);
    const auto [error, size] = co_await http::async_read(*m_socket, buffer, parser, AsTuple);
    m_rest = boost::beast::buffers_to_string(buffer.data());
    result.error = error;
    result.keepAlive = !error && parser.keep_alive();
    result.response = parser.release();
    if (!result.keepAlive) {
        close();
    }
    co_return result;
}

void Caller::close()
{
    boost::system::error_code ignored;
    if (m_socket) {
        m_socket->close(ignored);
    }
}

GatewayOptions GatewayFixture::defaultOptions()
{
    GatewayOptions options;
    options.instance = "gateway-a";
    options.listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    return options;
}

Contract GatewayFixture::defaultContract()
{
    ServiceContract service;
    service.name = "sales";
    service.timeout = std::chrono::milliseconds(500);
    service.concurrency = 1000;
    service.ratePerSecond = 100000;
    service.retryShare = 0.1;
    service.maximumAttempts = 3;
    service.idempotencyWindow = std::chrono::minutes(10);
    Contract contract;
    contract.customer = "cascadia";
    contract.services.push_back(service);
    return contract;
}

GatewayFixture::GatewayFixture(int targetCount, GatewayOptions options, RequestLog *log)
{
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<FakeTarget>(context.get_executor()));
        targets.back()->start();
    }
    gateway = std::make_unique<GatewayServer>(context.get_executor(), std::move(options), metrics, log);
    gateway->setContracts({defaultContract()});
    gateway->applyPublication(publication());
    gateway->start();
}

GatewayFixture::~GatewayFixture()
{
    gateway->stop();
    for (const auto &target : targets) {
        target->stop();
    }
    // Lets the cancelled coroutines finish while the objects that they refer to still exist.
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
}

std::vector<Wire::Target> GatewayFixture::publication() const
{
    std::vector<Wire::Target> result;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        Wire::Target target;
        target.customer = "cascadia";
        target.serviceName = "sales";
        target.worker = "worker-" + std::to_string(i);
        target.address = targets[i]->address();
        target.incarnation = "sales-" + std::to_string(i) + "/1";
        result.push_back(target);
    }
    return result;
}

tcp::endpoint GatewayFixture::endpoint() const
{
    return gateway->localEndpoint();
}

void GatewayFixture::run(asio::awaitable<void> coroutine, std::chrono::seconds limit)
{
    bool finished = false;
    asio::co_spawn(context, std::move(coroutine), [&](const std::exception_ptr &failure) {
        finished = failure == nullptr;
        context.stop();
    });
    context.restart();
    context.run_for(limit);
    cr_assert(finished, "the test coroutine did not finish");
}

asio::awaitable<void> pauseFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(AsTuple);
}

} // namespace Hyssop::Testing
